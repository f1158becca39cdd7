package report

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/phone"
)

// maxModelLines bounds the lines about models.
const maxModelLines = 4

// Text renders the report in fewer than 25 lines of at most 45 columns.
func (r Report) Text() string {
	head, tail := r.headLines(), append(r.StepLines(), r.modelLines()...)
	body := r.classLines(phone.Lines - len(head) - len(tail))
	lines := append(append(head, body...), tail...)
	for i := range lines {
		lines[i] = phone.Clip(lines[i])
	}
	return strings.Join(lines, "\n") + "\n"
}

func (r Report) headLines() []string {
	lines := []string{
		fmt.Sprintf("%s UTC, classes at revision %d", r.At.UTC().Format(time.TimeOnly), r.Revision),
		fmt.Sprintf("last %s, %s", Window, r.CoverageText()),
	}
	return append(lines, r.Warnings()...)
}

// CoverageText renders how many entries reported, and how old their figures are.
func (r Report) CoverageText() string {
	if r.EntriesReporting == 0 {
		return fmt.Sprintf("0 of %d entries heard", r.Entries)
	}
	return fmt.Sprintf("%d of %d entries heard, %s old", r.EntriesReporting, r.Entries, r.Oldest.Round(time.Second))
}

// Warnings renders what is unknown or unusual, one line each.
func (r Report) Warnings() []string {
	var lines []string
	if r.EntriesReporting < r.Entries {
		lines = append(lines, fmt.Sprintf("! %d entries not heard: figures partial", r.Entries-r.EntriesReporting))
	}
	if r.StoreDown {
		lines = append(lines, "! store unreachable: changes are refused")
	}
	if r.Unconfirmed {
		lines = append(lines, "! classes unconfirmed: maybe not the newest")
	}
	if r.Demoted > 0 {
		lines = append(lines, "! less work for "+countOf(r.Demoted, "slow endpoint"))
	}
	if len(r.Classes) == 0 {
		lines = append(lines, "! no classes yet: class apply -f FILE")
	}
	return lines
}

// classLines renders the most urgent classes in at most maxLines lines.
func (r Report) classLines(maxLines int) []string {
	var lines []string
	for i, c := range r.Classes {
		block := c.Lines()
		left := len(r.Classes) - i - 1
		reserve := min(left, 1)
		if len(lines)+len(block)+reserve > maxLines {
			return append(lines, r.remainderLine(i))
		}
		lines = append(lines, block...)
	}
	return lines
}

// remainderLine renders the number of classes that are not shown, which start at the index
// from, and how many of them missed their targets.
func (r Report) remainderLine(from int) string {
	missed := 0
	for _, c := range r.Classes[from:] {
		if c.Status == Missed {
			missed++
		}
	}
	return fmt.Sprintf("and %d more classes, %d of them missed", len(r.Classes)-from, missed)
}

// Lines renders one class: its status, its figures, and the advice.
func (c ClassReport) Lines() []string {
	switch c.Status {
	case NotKnown, Idle:
		return []string{fmt.Sprintf("%s: %s", c.Status, c.Class.Name)}
	}
	lines := []string{
		fmt.Sprintf("%s by %s: %s", c.Status, c.Margin(), c.Class.Name),
		fmt.Sprintf("  %s in %s (target %s), p99 %s", fractionText(c.FractionInTime), c.Class.LatenessText(), c.Class.CompletenessText(), c.WorstP99),
	}
	if fresh := c.Freshness.Line(); fresh != "" {
		lines = append(lines, "  "+fresh)
	}
	if counts := c.CountsText(); counts != "" {
		lines = append(lines, "  "+counts)
	}
	if c.Advice != "" {
		lines = append(lines, "  > "+c.Advice)
	}
	return lines
}

// Margin renders by how many percentage points the completeness target is met or
// missed. When only the freshness target is missed, it renders by how much.
func (c ClassReport) Margin() string {
	if c.Complete() && c.Freshness.Stale > 0 {
		return c.Freshness.Missed()
	}
	points := 100 * (c.FractionInTime - c.Class.Completeness)
	return fmt.Sprintf("%.1f points", max(points, -points))
}

// CountsText renders the counts that are not zero: stale, late, refused, unknown, retried and
// hedged requests.
func (c ClassReport) CountsText() string {
	var parts []string
	add := func(count int64, what string) {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s %s", countText(count), what))
		}
	}
	add(c.Freshness.Stale, "stale")
	add(c.Late, "late")
	add(c.NotRun, "refused")
	add(c.Unknown, "unknown")
	add(c.Retries, "retried")
	add(c.Hedges, "hedged")
	return strings.Join(parts, ", ")
}

func fractionText(fraction float64) string {
	return fmt.Sprintf("%.1f%%", 100*fraction)
}

// countText renders a count in at most four characters.
func countText(count int64) string {
	const thousand, million = 1000, 1000 * 1000
	switch {
	case count < thousand:
		return fmt.Sprint(count)
	case count < million:
		return fmt.Sprintf("%dk", count/thousand)
	default:
		return fmt.Sprintf("%dM", count/million)
	}
}

func (r Report) modelLines() []string {
	var lines []string
	for i, m := range r.Models {
		if i == maxModelLines-1 && len(r.Models) > maxModelLines {
			return append(lines, fmt.Sprintf("and %d more models", len(r.Models)-i))
		}
		lines = append(lines, m.Line())
	}
	return lines
}

// Line renders one model: the progress of its rollout, and how many replicas serve.
func (m ModelReport) Line() string {
	if m.Newest == 0 {
		return fmt.Sprintf("%d of %d replicas serve: %s", m.Serving, m.Total, m.Model)
	}
	serving := ""
	if m.Serving < m.Total {
		serving = fmt.Sprintf(", %d serve", m.Serving)
	}
	return fmt.Sprintf("v%d: %d of %d replicas%s: %s", m.Newest, m.AtNewest, m.Total, serving, m.Model)
}
