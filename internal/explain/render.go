package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/phone"
)

// mergeWithin is the largest time between lines of the same event that are merged into
// one entry.
const mergeWithin = 500 * time.Millisecond

// entry is one entry of a timeline: a line, or several lines of the same event.
type entry struct {
	line
	about bool
	nodes map[string]bool
	count int
}

// merge combines lines of several nodes about the same event. Lines about one of the ids
// are never merged.
func merge(lines []line, ids map[string]bool) []entry {
	var entries []entry
	for _, l := range lines {
		e := entry{line: l, about: l.about(ids), nodes: map[string]bool{l.fields["node"]: true}, count: 1}
		if into := mergeTarget(entries, e); into != nil {
			into.nodes[l.fields["node"]] = true
			into.count++
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

// mergeTarget returns the earlier entry that a line can be merged into, or nil.
func mergeTarget(entries []entry, e entry) *entry {
	for i := len(entries) - 1; i >= 0 && !e.about; i-- {
		if entries[i].about || e.timestamp.Sub(entries[i].timestamp) > mergeWithin {
			return nil
		}
		if entries[i].fields["msg"] == e.fields["msg"] {
			return &entries[i]
		}
	}
	return nil
}

// render returns the lines of the timeline within its size limits: with full details if
// they fit, else with one line of details for each entry. If that is still too long, it
// replaces lines in the middle by their number.
func render(id string, selected []line, ids map[string]bool) []string {
	if len(selected) == 0 {
		return []string{phone.Clip("no log line mentions " + id)}
	}
	entries := merge(selected, ids)
	lines := layout(id, entries, wrap)
	if len(lines) >= Lines {
		lines = layout(id, entries, func(text string) []string { return []string{phone.Clip("  " + text)} })
	}
	if len(lines) < Lines {
		return lines
	}
	head, tail := (Lines-2)/2, (Lines-2)/2
	left := len(lines) - head - tail
	return append(append(lines[:head:head], phone.Clip(fmt.Sprintf("... %d lines left out", left))), lines[len(lines)-tail:]...)
}

func layout(id string, entries []entry, details func(string) []string) []string {
	lines := []string{phone.Clip("timeline of " + id)}
	for _, e := range entries {
		lines = append(lines, phone.Clip(e.head(entries[0].timestamp)))
		if text := e.details(); text != "" {
			lines = append(lines, details(text)...)
		}
	}
	return lines
}

// head renders the time, the node and the name of the event.
func (e entry) head(start time.Time) string {
	where := e.fields["node"]
	if len(e.nodes) > 1 {
		where = fmt.Sprintf("%d nodes", len(e.nodes))
	}
	return fmt.Sprintf("%+.2fs %s: %s", e.timestamp.Sub(start).Seconds(), where, e.fields["msg"])
}

// detailFields lists the fields that are shown after an event's name, in this order.
var detailFields = []string{
	"route", "status", "cause", "endpoint", "owner", "unit", "events", "results", "listed", "unlisted", "missing", "took_ms", "age_ms", "items", "min_version", "lines",
}

func (e entry) details() string {
	var details []string
	for _, name := range detailFields {
		if value := e.fields[name]; value != "" {
			details = append(details, name+" "+value)
		}
	}
	return strings.Join(details, ", ")
}

// wrap breaks a text into indented lines at spaces.
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
