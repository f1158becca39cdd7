package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/phone"
)

// mergeWithin is how near to each other lines of the same event around a story
// are told as one.
const mergeWithin = 500 * time.Millisecond

// told is one entry of a story: a line, or several of the same event.
type told struct {
	line
	about bool
	nodes map[string]bool
	count int
}

// merge puts lines together that tell the same of several nodes. Lines about the
// id stand alone.
func merge(story []line, ids map[string]bool) []told {
	var all []told
	for _, l := range story {
		entry := told{line: l, about: l.about(ids), nodes: map[string]bool{l.fields["node"]: true}, count: 1}
		if into := sameBefore(all, entry); into != nil {
			into.nodes[l.fields["node"]] = true
			into.count++
			continue
		}
		all = append(all, entry)
	}
	return all
}

// sameBefore returns the entry that a line can be told with, or nil.
func sameBefore(all []told, entry told) *told {
	for i := len(all) - 1; i >= 0 && !entry.about; i-- {
		if all[i].about || entry.at.Sub(all[i].at) > mergeWithin {
			return nil
		}
		if all[i].fields["msg"] == entry.fields["msg"] {
			return &all[i]
		}
	}
	return nil
}

// render writes the story within its size: with whole details if they fit, else
// with a line of them each; what is left out of the middle is said.
func render(id string, story []line, ids map[string]bool) []string {
	if len(story) == 0 {
		return []string{phone.Clip("no line tells of " + id)}
	}
	entries := merge(story, ids)
	lines := tell(id, entries, wrap)
	if len(lines) >= Lines {
		lines = tell(id, entries, func(text string) []string { return []string{phone.Clip("  " + text)} })
	}
	if len(lines) < Lines {
		return lines
	}
	head, tail := (Lines-2)/2, (Lines-2)/2
	left := len(lines) - head - tail
	return append(append(lines[:head:head], phone.Clip(fmt.Sprintf("... %d lines left out", left))), lines[len(lines)-tail:]...)
}

func tell(id string, entries []told, details func(string) []string) []string {
	lines := []string{phone.Clip("story of " + id)}
	for _, entry := range entries {
		lines = append(lines, phone.Clip(entry.head(entries[0].at)))
		if text := entry.details(); text != "" {
			lines = append(lines, details(text)...)
		}
	}
	return lines
}

// head says when, where and what.
func (t told) head(start time.Time) string {
	where := t.fields["node"]
	if len(t.nodes) > 1 {
		where = fmt.Sprintf("%d nodes", len(t.nodes))
	}
	return fmt.Sprintf("%+.2fs %s: %s", t.at.Sub(start).Seconds(), where, t.fields["msg"])
}

// detailFields are told after an event's name, in this order.
var detailFields = []string{
	"route", "status", "cause", "endpoint", "owner", "unit", "events", "results", "listed", "unlisted", "missing", "took_ms", "age_ms", "items", "min_version", "lines",
}

func (t told) details() string {
	var details []string
	for _, name := range detailFields {
		if value := t.fields[name]; value != "" {
			details = append(details, name+" "+value)
		}
	}
	return strings.Join(details, ", ")
}

// wrap breaks a text into indented lines at its spaces.
func wrap(text string) []string {
	var lines []string
	current := " "
	for _, word := range strings.Fields(text) {
		if len([]rune(current))+1+len([]rune(word)) > Columns && current != " " {
			lines = append(lines, current)
			current = " "
		}
		current += " " + word
	}
	lines = append(lines, current)
	for i := range lines {
		lines[i] = phone.Clip(lines[i])
	}
	return lines
}
