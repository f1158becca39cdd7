package queue

import (
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// Parameters of the limits on running requests.
const (
	// defaultSlots is the number of slots assumed for an endpoint that has not reported its
	// own.
	defaultSlots = 8
	// ReservedFraction is the fraction of the slots reserved for interactive work.
	ReservedFraction = 0.125
	// interactiveOvercommit is the factor by which an entry's running interactive requests
	// may exceed its share of the slots, because some requests are in transit.
	interactiveOvercommit = 1.25
)

// limits holds how many interactive and how many batch requests of one model this entry
// may have running.
type limits struct {
	interactive, batch int
}

func (l limits) of(p pool) int {
	if p == interactivePool {
		return l.interactive
	}
	return l.batch
}

// limitsOf computes the limits of this entry. They consist of the entry's equal share of
// the slots plus slots that, according to the last load reports, other entries leave
// free beyond that share: all of these for batch work, and an equal part for interactive
// work. Entries thus share endpoints without coordinating each request. While a report
// is outdated, the limits can be too high. Then work waits at the endpoints instead, in
// the order of its priority numbers. The admission of interactive work needs accurate
// estimates and therefore borrows only a little.
//
// Batch work does not use the lane. If there is no lane, batch work leaves a reserve of
// slots free.
func limitsOf(endpoints []*endpoint.Endpoint, entries int, lane *policy.Lane) limits {
	entries = max(entries, 1)
	var outside, inside capacity // outside and inside the lane
	for _, e := range endpoints {
		switch {
		case e.Leaving || e.Unready:
		case lane.Has(e):
			inside.add(e)
		default:
			outside.add(e)
		}
	}
	batch := outside.equalShare(entries) + outside.borrowed(entries)
	if inside.total == 0 {
		batch -= int(float64(batch) * ReservedFraction)
	}
	outside.total += inside.total
	outside.free += inside.free
	interactiveLimit := interactiveOvercommit * float64(outside.equalShare(entries)+outside.borrowed(entries)/entries)
	return limits{interactive: max(int(interactiveLimit), 1), batch: max(batch, 1)}
}

// capacity counts the slots of endpoints, and how many of them other entries leave free.
type capacity struct {
	total, free int
}

func (c *capacity) add(e *endpoint.Endpoint) {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	otherRequests := max(e.Running+e.Waiting-e.OwnInFlight, 0)
	c.total += slots
	c.free += max(slots-otherRequests, 0)
}

func (c *capacity) equalShare(entries int) int { return (c.total + entries - 1) / entries }

func (c *capacity) borrowed(entries int) int { return max(c.free-c.equalShare(entries), 0) }
