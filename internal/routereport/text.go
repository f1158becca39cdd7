package routereport

import (
	"fmt"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/phone"
)

// Text renders the report in fewer than 25 lines of at most 45 columns.
func (r Report) Text() string {
	lines := r.head()
	for i, l := range r.Lines {
		block := l.lines()
		left := len(r.Lines) - i
		if len(lines)+len(block)+min(left-1, 1) > phone.Lines {
			lines = append(lines, fmt.Sprintf("... and %d more routes", left))
			break
		}
		lines = append(lines, block...)
	}
	for i := range lines {
		lines[i] = phone.Clip(lines[i])
	}
	return strings.Join(lines, "\n") + "\n"
}

// HTML renders the text as a page that is readable on a phone.
func (r Report) HTML() string { return phone.Page("comfreyfront report", r.Text()) }

func (r Report) head() []string {
	lines := []string{
		fmt.Sprintf("%s UTC, configuration %d", r.At.UTC().Format(time.TimeOnly), r.Version),
		fmt.Sprintf("last %s, %d of %d nodes heard", Window, r.NodesReporting, r.Nodes),
	}
	if r.NodesReporting < r.Nodes {
		lines = append(lines, "! figures partial: nodes not heard")
	}
	if r.StoreLost {
		lines = append(lines, "! store unreachable: no submissions")
	}
	if r.KeyRefusals > 0 {
		lines = append(lines, fmt.Sprintf("! %d refused for their key (event 8100)", r.KeyRefusals))
	}
	if r.Version == 0 {
		lines = append(lines, "! no configuration yet: requests refused")
	}
	return lines
}

func (l Line) lines() []string {
	if l.Status() == NotKnown {
		return []string{fmt.Sprintf("%s: %s, no requests ended", l.Route, NotKnown)}
	}
	first := fmt.Sprintf("%s: %s, %.1f%% of %d in time", l.Route, l.Status(), 100*l.FractionInTime(), l.counted())
	if l.Status() == Met {
		return []string{first}
	}
	return append([]string{first, "  " + l.causes()}, l.advice()...)
}

// causes renders the causes of requests that were not answered in time.
func (l Line) causes() string {
	late := l.Counts[Answered] - l.InTime
	text := fmt.Sprintf("%d late, %d refused, %d unknown", late, l.Counts[Refused], l.Counts[Unknown])
	if p99 := l.quantile(0.99); p99 > 0 && !l.Batch {
		text += fmt.Sprintf("; p99 %s", p99)
	}
	return text
}

// advice renders what the operator can do about the largest cause.
func (l Line) advice() []string {
	late := l.Counts[Answered] - l.InTime
	services := strings.Join(l.Services, ", ")
	switch {
	case services == "":
		return []string{"  do: assign a service to the route"}
	case l.Counts[Refused] >= late && l.Counts[Refused] >= l.Counts[Unknown]:
		return []string{"  do: more endpoints for " + services, "  or a longer timeout of the route"}
	case l.Counts[Unknown] >= late:
		return []string{"  do: check the endpoints of " + services, "  that died (explain ID, event 8014)"}
	case l.Batch:
		return []string{"  do: more engines for " + services, "  or a longer step time"}
	}
	return []string{"  do: more endpoints for " + services, "  or a longer target of the route"}
}
