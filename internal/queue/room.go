package queue

import "github.com/comfreyfront/comfreyfront/internal/endpoint"

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
func roomOf(endpoints []*endpoint.Endpoint, entries int) room {
	entries = max(entries, 1)
	total, free := 0, 0
	for _, e := range endpoints {
		if e.Leaving || e.Unready {
			continue
		}
		slots := e.Slots
		if slots <= 0 {
			slots = defaultSlots
		}
		others := max(e.Running+e.Waiting-e.OwnInFlight, 0)
		total += slots
		free += max(slots-others, 0)
	}
	share := (total + entries - 1) / entries
	borrowed := max(free-share, 0)
	batch := share + borrowed
	batch -= int(float64(batch) * ReserveShare)
	interactive := int(interactiveSurplus * float64(share+borrowed/entries))
	return room{interactive: max(interactive, 1), batch: max(batch, 1)}
}
