package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/concurrency"
)

// Work describes the request for which an endpoint is chosen.
type Work struct {
	// Tried are the IDs of endpoints that must not be chosen again.
	Tried []string
	// Zone is the failure domain of this node.
	Zone string
	// MayProbe is true if the request can be sent to a second endpoint in time should its
	// first one be slow, so that an endpoint believed to be slow may be tried with it.
	MayProbe bool
}

// crossZoneCost is what waitCost adds for an endpoint in another failure domain, as a
// fraction of the run time of one request.
const crossZoneCost = 0.3

// DefaultSlots is used for an endpoint that does not report its number of slots.
const DefaultSlots = 4

// Choose returns the endpoint with the lowest estimated waiting time. Leaving and
// tried endpoints are skipped. Endpoints that recently refused work are used only if
// there are no others, and endpoints that recently failed only after those. The
// estimate is based on the number of requests per slot, on the slowdown that the endpoint
// reports, and on how much concurrency it was observed to take well.
func Choose(endpoints []*Endpoint, work Work, now time.Time) (*Endpoint, bool) {
	if e, ok := probe(endpoints, work, now); ok {
		return e, true
	}
	var best *Endpoint
	var bestRank int
	var bestCost float64
	offset := 0
	if len(endpoints) > 1 {
		offset = rand.IntN(len(endpoints))
	}
	for i := range endpoints {
		e := endpoints[(i+offset)%len(endpoints)]
		if e.Leaving() || slices.Contains(work.Tried, e.ID) {
			continue
		}
		rank, cost := failureRank(e, now), waitCost(e, work, now)
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = e, rank, cost
		}
	}
	return best, best != nil
}

// failureRank ranks endpoints that recently failed or refused work behind the
// others.
func failureRank(e *Endpoint, now time.Time) int {
	switch {
	case e.Live.Avoided(now):
		return 2
	case e.Live.IsFull(now):
		return 1
	}
	return 0
}

// waitCost estimates how long work waits and runs at an endpoint, in units of the
// run time of one request.
func waitCost(e *Endpoint, work Work, now time.Time) float64 {
	slots := e.SlotCount()
	state := e.Live.Estimate.State(slots, now)
	inFlight, capacity := float64(e.Live.TotalInFlight(now)), float64(slots)
	cost := state.Factor(inFlight+1) + inFlight/capacity + max(inFlight-capacity+1, 0)
	if state.Limit < capacity {
		cost += max(inFlight+1-state.Limit, 0) / state.Limit
	}
	cost = cost * slowdownPercent(e, state, now) / 100
	if e.Zone != work.Zone {
		cost += crossZoneCost
	}
	return cost
}

// minReportedSlowdown is the percentage from which a reported slowdown counts although requests
// were seen to take less: the report may be newer.
const minReportedSlowdown = 125

// slowdownPercent returns how long work takes at an endpoint without contention, as a
// percentage of the usual time. The endpoint's report decides unless its requests were seen
// to take noticeably more or less.
func slowdownPercent(e *Endpoint, state concurrency.State, now time.Time) float64 {
	reported, observed := float64(e.Live.loadPercent(now)), 100*state.Base*state.Slowdown
	switch {
	case observed == 100:
		return reported
	case reported >= minReportedSlowdown:
		return max(observed, reported)
	}
	return observed
}

// SlotCount returns the number of slots, or a default if the endpoint does not report it.
func (e *Endpoint) SlotCount() int {
	if e.Slots <= 0 {
		return DefaultSlots
	}
	return e.Slots
}
