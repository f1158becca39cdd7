package queue

import "github.com/comfreyfront/comfreyfront/internal/endpoint"

// Limits of what may run at once.
const (
	// defaultSlots stands in for an endpoint that has not reported its slots.
	defaultSlots = 8
	// ReserveShare is the share of the slots that only interactive work takes.
	ReserveShare = 0.125
)

// room is how many requests of one model this entry may have running.
type room struct {
	// limit is for all work; batchLimit for work that nobody waits on.
	limit, batchLimit int
}

// roomOf gives an entry its equal share of the slots, and whatever the last
// load reports show that other entries leave free beyond it. Entries so share
// endpoints without a word on each request: a late report can lend too much
// only for as long as it is late, and the equal share is never taken away.
func roomOf(endpoints []*endpoint.Endpoint, entries int) room {
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
	share := (total + entries - 1) / max(entries, 1)
	limit := max(share, free, 1)
	reserve := int(float64(limit) * ReserveShare)
	return room{limit: limit, batchLimit: max(limit-reserve, 1)}
}
