package report

import (
	"fmt"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// load classifies how full the endpoints are that report their load.
type load int

const (
	loadUnknown load = iota
	loadFull         // most have no free capacity
	loadSpare
)

// state holds what the advice for a class depends on besides the class's own figures.
type state struct {
	storeDown bool
	// slow counts the endpoints that get less work for being slow.
	slow int64
	load load
	// lagging counts the replicas that are not at the newest weights; replicas counts
	// all replicas of the models with such a lag.
	lagging, replicas int
}

// stateOf returns the state of the endpoints that serve a class, or of all endpoints
// when serves is empty.
func stateOf(snapshot *control.Snapshot, r *Report, serves []string) state {
	s := state{storeDown: r.StoreDown}
	concerns := func(name string) bool { return len(serves) == 0 || slices.Contains(serves, name) }
	var concerned []*endpoint.Endpoint
	for name, endpoints := range snapshot.Endpoints {
		if concerns(name) {
			concerned = append(concerned, endpoints...)
		}
	}
	s.slow, s.load = countSlow(concerned), loadOf(concerned)
	for _, m := range r.Models {
		if concerns(m.Model) && m.AtNewest < m.Total && m.Newest > 0 {
			s.lagging += m.Total - m.AtNewest
			s.replicas += m.Total
		}
	}
	return s
}

func countSlow(endpoints []*endpoint.Endpoint) int64 {
	var count int64
	for _, e := range endpoints {
		if e.Demotion > 0 {
			count++
		}
	}
	return count
}

func loadOf(endpoints []*endpoint.Endpoint) load {
	reporting, full := 0, 0
	for _, e := range endpoints {
		if e.Slots == 0 {
			continue
		}
		reporting++
		if isFull(e) {
			full++
		}
	}
	switch {
	case reporting == 0:
		return loadUnknown
	case 2*full > reporting:
		return loadFull
	default:
		return loadSpare
	}
}

func isFull(e *endpoint.Endpoint) bool { return e.Waiting > 0 || e.Running >= e.Slots }

// advise returns what an operator can do about the largest cause of a missed target.
func advise(r *ClassReport, s state) string {
	switch {
	case r.Status != Missed:
		return ""
	case r.Complete():
		return adviseStale(s)
	}
	switch max(r.Late, r.NotRun, r.Unknown) {
	case r.Unknown:
		return "replace endpoints that die"
	case r.NotRun:
		return adviseRefused(r, s)
	default:
		return adviseLate(s)
	}
}

func adviseStale(s state) string {
	if s.lagging > 0 {
		return laggingText(s) + ": wait or restart"
	}
	return "allow older weights, or fewer rollouts"
}

// laggingText says how many replicas lag; it fits a line even with thousands of replicas.
func laggingText(s state) string {
	return fmt.Sprintf("%s of %s replicas lag", countText(int64(s.lagging)), countText(int64(s.replicas)))
}

func adviseLate(s state) string {
	switch {
	case s.slow > 0:
		return fmt.Sprintf("replace slow endpoints (%d)", s.slow)
	case s.load == loadFull:
		return "queues full: add endpoints"
	case s.load == loadSpare:
		return "not full, none slow: raise lateness"
	default:
		return "loads not known: check the endpoints"
	}
}

func adviseRefused(r *ClassReport, s state) string {
	other := r.NotRun - r.Unclaimed - r.NoEndpoint - r.Full - r.Invalid
	switch max(r.Unclaimed, r.NoEndpoint, r.Full, r.Invalid, other) {
	case r.Unclaimed:
		return adviseUnclaimed(s)
	case r.NoEndpoint:
		return adviseNoEndpoint(r, s)
	case r.Full:
		return "queues full: add endpoints"
	case r.Invalid:
		return "bad requests: fix the callers"
	default:
		return "cause not known: see the entries' logs"
	}
}

func adviseUnclaimed(s state) string {
	if s.storeDown {
		return "restore the key-value service"
	}
	return "store or an entry was down: retry them"
}

func adviseNoEndpoint(r *ClassReport, s state) string {
	if _, bounded := r.Class.Freshness.VersionLimit(); bounded && s.lagging > 0 {
		return laggingText(s) + ": wait or restart"
	}
	return "no usable endpoint: add endpoints"
}
