package explain

import (
	"fmt"
	"strconv"
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

// render returns the lines of the timeline within its size limits. If it is too long, it
// first shortens the details of what happened around the id to one line, and then leaves
// out entries. The details of entries about the id are never cut.
func render(id string, selected []line, ids map[string]bool) []string {
	if len(selected) == 0 {
		return []string{phone.Clip("no log line mentions " + id)}
	}
	entries := merge(selected, ids)
	blocks := layout(entries, false)
	if countLines(blocks) >= Lines-1 {
		blocks = layout(entries, true)
	}
	title := phone.Clip("timeline of " + id)
	return append([]string{title}, fit(blocks, Lines-2)...)
}

// block is the rendered form of one entry.
type block struct {
	lines []string
	// about means that the entry is about the id.
	about bool
}

func layout(entries []entry, shorten bool) []block {
	blocks := make([]block, 0, len(entries))
	for _, e := range entries {
		lines := []string{phone.Clip(e.head(entries[0].timestamp))}
		switch text := e.details(); {
		case text == "":
		case shorten && !e.about:
			lines = append(lines, phone.Clip("  "+text))
		default:
			lines = append(lines, wrap(text)...)
		}
		blocks = append(blocks, block{lines: lines, about: e.about})
	}
	return blocks
}

func countLines(blocks []block) int {
	n := 0
	for _, b := range blocks {
		n += len(b.lines)
	}
	return n
}

// fit returns the lines of the blocks. If they are more than the limit, it leaves out
// blocks from the middle, those about the id last, and says how many lines they had. The
// last block about the id, which has its outcome, always stays.
func fit(blocks []block, limit int) []string {
	outcome := 0
	for i, b := range blocks {
		if b.about {
			outcome = i
		}
	}
	omitted := map[int]bool{}
	total := countLines(blocks)
	for _, about := range []bool{false, true} {
		for _, i := range fromTheMiddle(len(blocks)) {
			if total <= limit || blocks[i].about != about || i == outcome {
				continue
			}
			if len(omitted) == 0 {
				total++ // the line that says how many are left out
			}
			omitted[i] = true
			total -= len(blocks[i].lines)
		}
	}
	return withoutOmitted(blocks, omitted, limit)
}

// fromTheMiddle returns the indices below n, those in the middle first.
func fromTheMiddle(n int) []int {
	indices := make([]int, 0, n)
	for offset := 0; len(indices) < n; offset++ {
		if i := n/2 + offset; i < n {
			indices = append(indices, i)
		}
		if i := n/2 - 1 - offset; i >= 0 {
			indices = append(indices, i)
		}
	}
	return indices
}

// withoutOmitted joins the lines of the blocks that are kept. A line in place of the first
// omitted block says how many lines are left out.
func withoutOmitted(blocks []block, omitted map[int]bool, limit int) []string {
	var lines []string
	left, noteAt := 0, -1
	for i, b := range blocks {
		if !omitted[i] {
			lines = append(lines, b.lines...)
			continue
		}
		if noteAt < 0 {
			noteAt = len(lines)
			lines = append(lines, "")
		}
		left += len(b.lines)
	}
	if excess := len(lines) - limit; excess > 0 { // one entry alone is longer than the limit
		left += excess
		lines = lines[:limit]
	}
	if noteAt >= 0 {
		lines[noteAt] = phone.Clip(fmt.Sprintf("... %d lines left out", left))
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
	"route", "status", "account", "cause", "endpoint", "owner", "unit", "events", "results", "listed", "unlisted", "missing", "took_ms", "age_ms", "items", "min_version", "lines",
	"slowest", "text_events", "moves", "total_ms", "bound_ms",
}

// partFields lists the parts of a step's time; parts of less than minPart of the total
// are not shown.
var partFields = []string{
	"opening_ms", "waiting_ms", "loading_ms", "starting_ms", "moving_ms", "generating_ms", "slower_ms", "scoring_ms", "writing_ms", "reading_ms",
}

const minPart = 0.01

func (e entry) details() string {
	var details []string
	for _, name := range detailFields {
		if value := e.fields[name]; value != "" {
			details = append(details, name+" "+value)
		}
	}
	total, _ := strconv.ParseFloat(e.fields["total_ms"], 64) // zero if there is none: then there are no parts
	for _, name := range partFields {
		if part, err := strconv.ParseFloat(e.fields[name], 64); err == nil && part > minPart*total {
			details = append(details, name+" "+e.fields[name])
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
