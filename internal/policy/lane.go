package policy

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Limits of a lane.
const (
	// laneFill is the share of a lane's slots that interactive work should take
	// on average: a fuller endpoint makes each answer slower.
	laneFill = 0.35
	// laneMost is the largest share of the endpoints that a lane takes.
	laneMost = 0.5
	// laneLeast is the demand, in requests at once, below which there is none.
	laneLeast = 0.3
	// laneShrink is how much lower the demand must be before a lane shrinks.
	laneShrink = 0.6
)

// Lane sets endpoints of each model apart from work that nobody waits on, as
// many as the interactive work needs. Which ones follows from their IDs, so that
// entries agree without a word. It is safe for concurrent use by readers; one
// goroutine at a time may call Resize. The zero value sets nothing apart.
type Lane struct {
	lanes atomic.Pointer[map[string]lane]
}

// lane is the set of endpoints whose hash is at most last.
type lane struct {
	last uint64
	size int
}

// Has reports whether the endpoint is set apart.
func (l *Lane) Has(e *endpoint.Endpoint) bool {
	if l == nil {
		return false
	}
	lanes := l.lanes.Load()
	if lanes == nil {
		return false
	}
	found, ok := (*lanes)[e.Serves]
	return ok && rankOf(e) <= found.last
}

// Resize fits the lane of a model to the demand: how many interactive requests
// all entries together have in flight on average.
func (l *Lane) Resize(model string, endpoints []*endpoint.Endpoint, demand float64) {
	next := make(map[string]lane)
	if old := l.lanes.Load(); old != nil {
		for name, found := range *old {
			next[name] = found
		}
	}
	size := laneSize(endpoints, demand)
	if old := next[model].size; size < old && laneSize(endpoints, demand/laneShrink) >= old {
		size = old
	}
	delete(next, model)
	if size > 0 {
		next[model] = lane{last: nthRank(endpoints, size), size: size}
	}
	l.lanes.Store(&next)
}

func laneSize(endpoints []*endpoint.Endpoint, demand float64) int {
	if demand < laneLeast || len(endpoints) == 0 {
		return 0
	}
	total := 0.0
	for _, e := range endpoints {
		total += slots(e)
	}
	mean := total / float64(len(endpoints))
	size := math.Ceil(demand / (mean * laneFill))
	return int(min(size, laneMost*float64(len(endpoints))))
}

func rankOf(e *endpoint.Endpoint) uint64 { return xxhash.Sum64String(e.ID) }

// nthRank returns the n-th lowest rank.
func nthRank(endpoints []*endpoint.Endpoint, n int) uint64 {
	ranks := make([]uint64, len(endpoints))
	for i, e := range endpoints {
		ranks[i] = rankOf(e)
	}
	slices.SortFunc(ranks, cmp.Compare)
	return ranks[n-1]
}
