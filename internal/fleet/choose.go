package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Work describes the request for which an endpoint is chosen.
type Work struct {
	// Tried are the IDs of endpoints that must not be chosen again.
	Tried []string
	// Zone is the failure domain of this node.
	Zone string
}

// crossZoneCost is what waitCost adds for an endpoint in another failure domain, as a
// fraction of the run time of one request.
const crossZoneCost = 0.3

// defaultSlots is used for an endpoint that does not report its number of slots.
const defaultSlots = 4

// Choose returns the endpoint with the lowest estimated waiting time. Leaving and
// tried endpoints are skipped. Endpoints that recently refused work are used only if
// there are no others, and endpoints that recently failed only after those. The
// estimate is based on the number of requests per slot and on the endpoint's current
// slowdown.
func Choose(endpoints []*Endpoint, work Work, now time.Time) (*Endpoint, bool) {
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
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	totalInFlight := float64(e.Live.TotalInFlight(now))
	cost := (1 + totalInFlight/float64(slots) + max(totalInFlight-float64(slots)+1, 0)) * float64(e.Live.loadPercent(now)) / 100
	if e.Zone != work.Zone {
		cost += crossZoneCost
	}
	return cost
}
