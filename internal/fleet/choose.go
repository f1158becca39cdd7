package fleet

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Work is what an endpoint is chosen for.
type Work struct {
	// Tried are the ids of endpoints that are not to be chosen again.
	Tried []string
	// Zone is the node's own failure domain.
	Zone string
}

// crossZoneCost is what a way to another failure domain counts, as a share of
// one request held.
const crossZoneCost = 0.3

// defaultSlots stands in for the slots of an endpoint that does not tell them.
const defaultSlots = 4

// Choose picks the endpoint on which the work waits least: of those that take
// work, first the ones that did not just fail or refuse, and of these the one
// with the least held for each slot, weighed by how slow its machine is now.
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
		if e.Draining || slices.Contains(work.Tried, e.ID) {
			continue
		}
		rank, cost := trouble(e, now), waiting(e, work, now)
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = e, rank, cost
		}
	}
	return best, best != nil
}

// trouble ranks endpoints that failed or refused lately behind the others.
func trouble(e *Endpoint, now time.Time) int {
	switch {
	case e.Live.Avoided(now):
		return 2
	case e.Live.IsFull(now):
		return 1
	}
	return 0
}

// waiting estimates how long work waits and runs, in units of one request.
func waiting(e *Endpoint, work Work, now time.Time) float64 {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	held := float64(e.Live.held(now))
	cost := (1 + held/float64(slots) + max(held-float64(slots)+1, 0)) * float64(e.Live.percent(now)) / 100
	if e.Zone != work.Zone {
		cost += crossZoneCost
	}
	return cost
}
