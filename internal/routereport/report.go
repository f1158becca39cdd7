package routereport

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

// RequiredFraction is the fraction of a route's requests that must be answered within
// its target. The configuration states targets without a fraction.
const RequiredFraction = 0.99

// Status is the state of a route with respect to its target.
type Status string

// Statuses of a route.
const (
	Met      Status = "met"
	Missed   Status = "MISSED"
	NotKnown Status = "not known"
)

// Line summarizes one route.
type Line struct {
	Figure
	// Target is the route's target, zero if it has none; for submissions it is the time
	// limit of a step.
	Target time.Duration
	Batch  bool
	// Services names the services behind the route.
	Services []string
}

// Report summarizes all routes.
type Report struct {
	At time.Time
	// Version is the version of the configuration; zero means that none is known.
	Version int64
	// NodesReporting counts the nodes that returned their figures, Nodes all nodes.
	NodesReporting, Nodes int
	// StoreLost means that this node cannot reach the metadata store.
	StoreLost bool
	// KeyRefusals counts the requests that were refused for their key.
	KeyRefusals int64
	// Lines holds the routes, the worst first.
	Lines []Line
}

// Build returns a report with one line for each route of the configuration.
func Build(configuration *route.Configuration, figures []*Figure) Report {
	report := Report{}
	byRoute := map[string]*Figure{}
	for _, f := range Merge(figures) {
		byRoute[f.Route] = f
	}
	if configuration == nil {
		return report
	}
	report.Version = configuration.Version
	for _, r := range configuration.Routes {
		line := Line{Target: TargetOf(r), Batch: r.Kind == route.Batch}
		line.Route = r.Name
		if f := byRoute[r.Name]; f != nil {
			line.Figure = *f
		}
		for _, service := range r.Services {
			line.Services = append(line.Services, service.Service)
		}
		report.Lines = append(report.Lines, line)
	}
	slices.SortStableFunc(report.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(rank(a.Status()), rank(b.Status())), cmp.Compare(a.FractionInTime(), b.FractionInTime()))
	})
	return report
}

// TargetOf returns the time within which a request or step of the route is in time.
func TargetOf(r *route.Route) time.Duration {
	if r.Kind == route.Batch {
		return r.RunDeadline
	}
	return r.Target
}

func rank(s Status) int {
	return slices.Index([]Status{Missed, Met, NotKnown}, s)
}

// counted returns the number of requests that count towards the target.
func (l Line) counted() int64 {
	return l.Counts[Answered] + l.Counts[Refused] + l.Counts[Unknown]
}

// FractionInTime returns the fraction of requests answered in time; 1 when there were
// none.
func (l Line) FractionInTime() float64 {
	if l.counted() == 0 {
		return 1
	}
	return float64(l.InTime) / float64(l.counted())
}

// Status returns whether the target is met.
func (l Line) Status() Status {
	switch {
	case l.counted() == 0:
		return NotKnown
	case l.FractionInTime() >= RequiredFraction:
		return Met
	}
	return Missed
}

// quantile returns an upper bound of the q-quantile of the answer times. It returns
// zero when the quantile exceeds all bounds or nothing was answered.
func (f *Figure) quantile(q float64) time.Duration {
	var total, sum int64
	for _, n := range f.Times {
		total += n
	}
	for i, n := range f.Times[:len(boundsMS)] {
		sum += n
		if total > 0 && float64(sum) >= q*float64(total) {
			return time.Duration(boundsMS[i]) * time.Millisecond
		}
	}
	return 0
}
