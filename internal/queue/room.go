package queue

import (
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// Limits of what may run at once.
const (
	// defaultSlots stands in for an endpoint that has not reported its slots.
	defaultSlots = 8
	// ReserveShare is the share of the slots that only interactive work takes.
	ReserveShare = 0.125
	// interactiveSurplus is how many times its share of the slots an entry may
	// have running of interactive work: some is on its way.
	interactiveSurplus = 1.25
)

// room is how many requests of one model this entry may have running: work
// that people wait on and the rest have a limit each.
type room struct {
	interactive, batch int
}

func (r room) of(p pool) int {
	if p == interactivePool {
		return r.interactive
	}
	return r.batch
}

// roomOf gives an entry its equal share of the slots, and of what the last load
// reports show that other entries leave free beyond it, interactive work its
// equal part and other work all. Entries so share endpoints without a word on
// each request. A late report can lend too much for as long as it is late; then
// work waits at the endpoints instead, in the order of its priority numbers, and
// the admission of interactive work, which needs true estimates, borrows little.
//
// Work that nobody waits on keeps out of the lane; where there is none, it leaves
// a reserve.
func roomOf(endpoints []*endpoint.Endpoint, entries int, lane *policy.Lane) room {
	entries = max(entries, 1)
	var outside, inside capacity
	for _, e := range endpoints {
		switch {
		case e.Leaving || e.Unready:
		case lane.Has(e):
			inside.add(e)
		default:
			outside.add(e)
		}
	}
	batch := outside.share(entries) + outside.borrowed(entries)
	if inside.total == 0 {
		batch -= int(float64(batch) * ReserveShare)
	}
	outside.total += inside.total
	outside.free += inside.free
	surplus := interactiveSurplus * float64(outside.share(entries)+outside.borrowed(entries)/entries)
	return room{interactive: max(int(surplus), 1), batch: max(batch, 1)}
}

// capacity counts slots, and those of them that other entries leave free.
type capacity struct {
	total, free int
}

func (c *capacity) add(e *endpoint.Endpoint) {
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	others := max(e.Running+e.Waiting-e.OwnInFlight, 0)
	c.total += slots
	c.free += max(slots-others, 0)
}

func (c *capacity) share(entries int) int { return (c.total + entries - 1) / entries }

func (c *capacity) borrowed(entries int) int { return max(c.free-c.share(entries), 0) }
