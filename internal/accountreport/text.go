package accountreport

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/phone"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
)

// Report is the report on one account.
type Report struct {
	At time.Time
	// Version is the version of the configuration.
	Version int64
	// NodesReporting counts the nodes that returned their figures, Nodes all nodes.
	NodesReporting, Nodes int
	Account               string
	// Found is true if the configuration contains the account.
	Found bool
	// Figure holds the counts of the account, and KeyRefusals those of all requests that were
	// refused for their key.
	Figure      Figure
	KeyRefusals [account.RefusalCount]int64
	// Usage is the newest usage report; nil if there is none.
	Usage *Usage
}

// Usage is the account's part of the newest usage report.
type Usage struct {
	Window   int64
	Requests int64
	// Ended is how long ago the window ended.
	Ended time.Duration
}

// text renders the usage in one line.
func (u *Usage) text() string {
	return fmt.Sprintf("usage: %d in window %d, %s ago", u.Requests, u.Window, u.Ended.Round(time.Second))
}

// Text renders the report in lines of at most 45 columns.
func (r Report) Text() string {
	lines := []string{
		fmt.Sprintf("%s UTC, configuration %d", r.At.UTC().Format(time.TimeOnly), r.Version),
		fmt.Sprintf("last %s, %d of %d nodes heard", routereport.Window, r.NodesReporting, r.Nodes),
		"account " + r.Account,
	}
	if !r.Found {
		lines = append(lines, "! not in this configuration: 401")
	}
	lines = append(lines, fmt.Sprintf("%d requests ended", r.Figure.Requests()))
	for outcome, n := range r.Figure.Outcomes {
		lines = append(lines, countLine(routereport.Outcome(outcome), n))
	}
	if r.Usage != nil {
		lines = append(lines, r.Usage.text())
	}
	lines = append(lines, shares(r.Figure)...)
	lines = append(lines, fmt.Sprintf("refused for its key: %d", r.Figure.Refused()))
	lines = append(lines, reasons(r.Figure.Refusals)...)
	all := Figure{Refusals: r.KeyRefusals}
	lines = append(lines, fmt.Sprintf("refused for a key, all callers: %d", all.Refused()))
	lines = append(lines, reasons(r.KeyRefusals)...)
	lines = append(lines, advice(r.KeyRefusals)...)
	for i := range lines {
		lines[i] = phone.Clip(lines[i])
	}
	return strings.Join(lines, "\n") + "\n"
}

// countLine renders one count of a list.
func countLine(name fmt.Stringer, n int64) string { return fmt.Sprintf("  %-13s %d", name, n) }

// shares renders how many requests wanted room and got it.
func shares(f Figure) []string {
	lines := []string{fmt.Sprintf("wanted room: %d, got it: %d", f.Wanted(), f.Got())}
	for cause, n := range f.Shares {
		if n > 0 {
			lines = append(lines, countLine(Share(cause), n))
		}
	}
	return lines
}

// reasons renders the counts that are not zero.
func reasons(refusals [account.RefusalCount]int64) []string {
	var lines []string
	for refusal, n := range refusals {
		if n > 0 {
			lines = append(lines, countLine(account.Refusal(refusal), n))
		}
	}
	return lines
}

// advice renders what the operator can do about the refusals.
func advice(refusals [account.RefusalCount]int64) []string {
	var lines []string
	if refusals[account.RefusedUnknown] > 0 {
		lines = append(lines, "do: give the caller a key in force")
	}
	if refusals[account.RefusedNoKey]+refusals[account.RefusedMalformed] > 0 {
		lines = append(lines, "do: caller must send its key", "  (Authorization: Bearer KEY)")
	}
	if refusals[account.RefusedUncertain] > 0 {
		lines = append(lines, "do: check the store's links (event 8010)")
	}
	return lines
}
