// Package explain tells the story of one request, submission or item from the
// logs of all nodes.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"
)

// Size of a story, so that it can be read on a phone.
const (
	Columns = 45
	Lines   = 25
)

// line is one log line.
type line struct {
	at     time.Time
	number int
	fields map[string]string
}

var field = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)

// parse reads a log line; false when it is none.
func parse(text string, number int) (line, bool) {
	l := line{number: number, fields: map[string]string{}}
	for _, match := range field.FindAllStringSubmatch(text, -1) {
		if _, twice := l.fields[match[1]]; !twice {
			l.fields[match[1]] = strings.Trim(match[2], `"`)
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil || l.fields["msg"] == "" {
		return line{}, false
	}
	l.at = at
	return l, true
}

// idFields are the fields that name what a line is about.
var idFields = []string{"request", "submission", "item"}

// about reports whether a line is about one of the ids.
func (l line) about(ids map[string]bool) bool {
	for _, name := range idFields {
		if ids[l.fields[name]] {
			return true
		}
	}
	return false
}

// around are events that explain many requests at once.
var around = map[string]bool{
	"unit taken": true, "unit lost": true, "peer dead": true, "store lost": true, "store regained": true,
	"node started": true, "node draining": true, "log lines left out": true, "configuration in force": true,
}

// Story reads logs and writes the story of an id in order of time. It returns
// how many lines were about it.
func Story(id string, logs io.Reader, out io.Writer) (int, error) {
	var all []line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, 1<<20)
	for number := 1; scanner.Scan(); number++ {
		if l, ok := parse(scanner.Text(), number); ok {
			all = append(all, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return 0, err
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	story, found := choose(id, all)
	_, err := io.WriteString(out, strings.Join(render(id, story), "\n")+"\n")
	return found, err
}

// choose picks the lines about an id and about the submission that an item is
// of, and what happened around them.
func choose(id string, all []line) ([]line, int) {
	ids := map[string]bool{id: true}
	for _, l := range all {
		if l.fields["item"] == id && l.fields["submission"] != "" {
			ids[l.fields["submission"]] = true
		}
	}
	var story []line
	var first, last time.Time
	for _, l := range all {
		if l.about(ids) {
			if first.IsZero() {
				first = l.at
			}
			last = l.at
			story = append(story, l)
		}
	}
	found := len(story)
	if found == 0 {
		return nil, 0
	}
	const margin = time.Second
	for _, l := range all {
		if around[l.fields["msg"]] && !l.about(ids) && l.at.After(first.Add(-margin)) && l.at.Before(last.Add(margin)) {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].at.Before(story[j].at) })
	return story, found
}

// render writes the story within its size; what is left out of the middle is
// said.
func render(id string, story []line) []string {
	if len(story) == 0 {
		return []string{clip("no line tells of " + id)}
	}
	lines := []string{clip("story of " + id)}
	for _, l := range story {
		lines = append(lines, l.render(story[0].at)...)
	}
	if len(lines) < Lines {
		return lines
	}
	head, tail := (Lines-2)/2, (Lines-2)/2
	left := len(lines) - head - tail
	return append(append(lines[:head:head], clip(fmt.Sprintf("... %d lines left out", left))), lines[len(lines)-tail:]...)
}

// detailFields are told after an event's name, in this order.
var detailFields = []string{"status", "cause", "endpoint", "owner", "unit", "events", "results", "listed", "took_ms", "age_ms", "items", "min_version", "lines"}

// render writes one line: when, where, what, and its details below if they do
// not fit.
func (l line) render(start time.Time) []string {
	head := fmt.Sprintf("%+.2fs %s: %s", l.at.Sub(start).Seconds(), l.fields["node"], l.fields["msg"])
	var details []string
	for _, name := range detailFields {
		if value := l.fields[name]; value != "" {
			details = append(details, name+" "+value)
		}
	}
	if len(details) == 0 {
		return []string{clip(head)}
	}
	return []string{clip(head), clip("  " + strings.Join(details, ", "))}
}

func clip(text string) string {
	if runes := []rune(text); len(runes) > Columns {
		return string(runes[:Columns-1]) + "…"
	}
	return text
}
