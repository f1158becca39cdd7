// Package explain tells the story of one request, submission or item from the
// logs of all nodes.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/phone"
)

// Size of a story, so that it can be read on a phone.
const (
	Columns = phone.Columns
	Lines   = phone.Lines + 1 // a story has fewer
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

// Timeline reads logs and writes the story of an id in order of time. It returns
// how many lines were about it.
func Timeline(id string, logs io.Reader, out io.Writer) (int, error) {
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
	markAbruptEnds(all)
	ids := related(id, all)
	story, found := choose(ids, all)
	_, err := io.WriteString(out, strings.Join(render(id, story, ids), "\n")+"\n")
	return found, err
}

// markAbruptEnds says of each start of a node whether the process before it had
// been asked to end.
func markAbruptEnds(all []line) {
	const (
		running = iota + 1
		leaving
	)
	states := map[string]int{}
	for _, l := range all {
		node := l.fields["node"]
		switch {
		case l.fields["msg"] == "node started" && states[node] == running:
			l.fields["cause"] = "the process before it was killed or crashed"
			states[node] = running
		case l.fields["msg"] == "node draining" || l.fields["msg"] == "node stopped":
			states[node] = leaving
		case states[node] != leaving || l.fields["msg"] == "node started":
			states[node] = running
		}
	}
}

// related returns the id and, of an item, the submissions that it is of.
func related(id string, all []line) map[string]bool {
	ids := map[string]bool{id: true}
	for _, l := range all {
		if l.fields["item"] == id && l.fields["submission"] != "" {
			ids[l.fields["submission"]] = true
		}
	}
	return ids
}

// choose picks the lines about the ids, what happened around them, and what the
// first node last said of itself before.
func choose(ids map[string]bool, all []line) ([]line, int) {
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
	own := story[0].fields["node"]
	var before *line // the last word of the first line's node before the story
	for i, l := range all {
		if !around[l.fields["msg"]] || l.about(ids) || !l.at.Before(last.Add(margin)) {
			continue
		}
		near := l.at.After(first.Add(-margin))
		if near {
			story = append(story, l)
		}
		if l.fields["node"] == own && l.at.Before(first) {
			before = nil
			if !near {
				before = &all[i]
			}
		}
	}
	if before != nil {
		story = append(story, *before)
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].at.Before(story[j].at) })
	return story, found
}
