// Package explain extracts the timeline of one request, submission or item from the logs
// of all nodes.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/phone"
)

// Size limits of a timeline, so that it is readable on a phone.
const (
	Columns = phone.Columns
	Lines   = phone.Lines + 1 // a timeline has fewer lines
)

// line is one parsed log line.
type line struct {
	timestamp time.Time
	number    int
	fields    map[string]string
}

// field matches one key=value pair of a log line.
var field = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)

// parse parses a log line. It returns false when text is not a log line.
func parse(text string, number int) (line, bool) {
	l := line{number: number, fields: map[string]string{}}
	for _, match := range field.FindAllStringSubmatch(text, -1) {
		if _, duplicate := l.fields[match[1]]; !duplicate {
			l.fields[match[1]] = strings.Trim(match[2], `"`)
		}
	}
	timestamp, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	if err != nil || l.fields["msg"] == "" {
		return line{}, false
	}
	l.timestamp = timestamp
	return l, true
}

// about reports whether a line belongs to the timeline of the ids. A line of an item belongs
// only to the item itself, not to others of its submission.
func (l line) about(ids map[string]bool) bool {
	if item := l.fields["item"]; item != "" {
		return ids[item]
	}
	return ids[l.fields["request"]] || ids[l.fields["submission"]]
}

// contextEvents lists events that explain the outcome of many requests at once.
var contextEvents = map[string]bool{
	"unit taken": true, "unit lost": true, "peer dead": true, "store lost": true, "store regained": true,
	"node started": true, "node draining": true, "log lines left out": true, "configuration in force": true,
}

// Timeline reads logs and writes the events of an id in order of time. It returns the
// number of lines about the id.
func Timeline(id string, logs io.Reader, out io.Writer) (int, error) {
	var lines []line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, 1<<20)
	for number := 1; scanner.Scan(); number++ {
		if l, ok := parse(scanner.Text(), number); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return 0, err
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].timestamp.Before(lines[j].timestamp) })
	markAbruptEnds(lines)
	ids := related(id, lines)
	selected, found := selectLines(ids, lines)
	_, err := io.WriteString(out, strings.Join(render(id, selected, ids), "\n")+"\n")
	return found, err
}

// markAbruptEnds adds a cause to each start of a node whose previous process ended without
// a shutdown.
func markAbruptEnds(lines []line) {
	const (
		running = iota + 1
		leaving
	)
	states := map[string]int{}
	for _, l := range lines {
		node := l.fields["node"]
		switch {
		case l.fields["msg"] == "node started" && states[node] == running:
			l.fields["cause"] = "the previous process was killed or crashed"
			states[node] = running
		case l.fields["msg"] == "node draining" || l.fields["msg"] == "node stopped":
			states[node] = leaving
		case states[node] != leaving || l.fields["msg"] == "node started":
			states[node] = running
		}
	}
}

// related returns the id and what its timeline includes: the submissions of an item; of a
// submission the item that was ready last, and the items that were abandoned.
func related(id string, lines []line) map[string]bool {
	ids := map[string]bool{id: true}
	for _, l := range lines {
		item, submission := l.fields["item"], l.fields["submission"]
		switch {
		case item == id && submission != "":
			ids[submission] = true
		case submission == id && l.fields["msg"] == event.ItemAbandoned.Name:
			ids[item] = true
		case submission == id && l.fields["slowest"] != "":
			ids[l.fields["slowest"]] = true
		}
	}
	return ids
}

// selectLines selects the lines about the ids, the events around them, and the last earlier
// event of the node that logged the first line. It returns the number of lines about the
// ids.
func selectLines(ids map[string]bool, lines []line) ([]line, int) {
	var selected []line
	var first, last time.Time
	for _, l := range lines {
		if l.about(ids) {
			if first.IsZero() {
				first = l.timestamp
			}
			last = l.timestamp
			selected = append(selected, l)
		}
	}
	found := len(selected)
	if found == 0 {
		return nil, 0
	}
	const margin = time.Second
	firstNode := selected[0].fields["node"]
	var lastEarlier *line // the last event of firstNode before the time span
	for i, l := range lines {
		if !contextEvents[l.fields["msg"]] || l.about(ids) || !l.timestamp.Before(last.Add(margin)) {
			continue
		}
		near := l.timestamp.After(first.Add(-margin))
		if near {
			selected = append(selected, l)
		}
		if l.fields["node"] == firstNode && l.timestamp.Before(first) {
			lastEarlier = nil
			if !near {
				lastEarlier = &lines[i]
			}
		}
	}
	if lastEarlier != nil {
		selected = append(selected, *lastEarlier)
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].timestamp.Before(selected[j].timestamp) })
	return selected, found
}
