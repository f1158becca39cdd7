package routereport

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

// RequiredFraction is the share of a route's requests that is to be answered within
// its target; the configuration states targets without a share.
const RequiredFraction = 0.99

// Status says whether a route's target is met.
type Status string

// Statuses.
const (
	Met      Status = "met"
	Missed   Status = "MISSED"
	NotKnown Status = "not known"
)

// Line is the state of one route.
type Line struct {
	Figure
	// Target is the route's, zero if it has none; of submissions the time of a step.
	Target time.Duration
	Batch  bool
	// Services that serve it.
	Services []string
}

// Report is the state of all routes.
type Report struct {
	At time.Time
	// Version of the configuration; zero when none is known.
	Version int64
	// Heard of Nodes told their figures.
	Heard, Nodes int
	// StoreLost: this node does not reach the metadata store.
	StoreLost bool
	// Lines are in order of what is worst.
	Lines []Line
}

// Build puts the report together: a line for each route of the configuration and
// for each route that was counted.
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

// TargetOf returns within which time a route's request, or step, is in time.
func TargetOf(r *route.Route) time.Duration {
	if r.Kind == route.Batch {
		return r.RunDeadline
	}
	return r.Target
}

func rank(s Status) int {
	return slices.Index([]Status{Missed, Met, NotKnown}, s)
}

// counted are the requests that count for the target.
func (l Line) counted() int64 {
	return l.Counts[Answered] + l.Counts[Refused] + l.Counts[Unknown]
}

// FractionInTime returns the share that was answered in time; 1 when nothing came.
func (l Line) FractionInTime() float64 {
	if l.counted() == 0 {
		return 1
	}
	return float64(l.InTime) / float64(l.counted())
}

// Status says whether the target is met.
func (l Line) Status() Status {
	switch {
	case l.counted() == 0:
		return NotKnown
	case l.FractionInTime() >= RequiredFraction:
		return Met
	}
	return Missed
}

// quantile returns an upper bound of the time that a share of the answers kept;
// zero when it is longer than all bounds, or nothing was answered.
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
