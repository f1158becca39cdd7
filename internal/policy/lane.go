package policy

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Limits on the size of a lane.
const (
	// laneUtilization is the target fraction of a lane's slots that interactive work
	// occupies on average. Higher utilization slows down each answer.
	laneUtilization = 0.35
	// maxLaneFraction is the largest fraction of the endpoints that a lane may contain.
	maxLaneFraction = 0.5
	// minLaneDemand is the demand, in concurrent requests, below which the lane is empty.
	minLaneDemand = 0.3
	// laneShrinkRatio adds hysteresis: a lane shrinks only when it would be too large
	// even for the demand divided by this ratio.
	laneShrinkRatio = 0.6
)

// Lane reserves endpoints of each model for interactive work, as many as that work
// needs. The endpoints are selected by a hash of their IDs, so that entries agree on
// them without communicating. Has is safe for concurrent use; only one goroutine at a
// time may call Resize. The zero value reserves nothing.
type Lane struct {
	lanes atomic.Pointer[map[string]lane]
}

// lane is the set of endpoints of one model whose hash is at most maxHash.
type lane struct {
	maxHash uint64
	size    int
}

// Has reports whether the endpoint is reserved for interactive work.
func (l *Lane) Has(e *endpoint.Endpoint) bool {
	if l == nil {
		return false
	}
	lanes := l.lanes.Load()
	if lanes == nil {
		return false
	}
	current, ok := (*lanes)[e.Serves]
	return ok && hashOf(e) <= current.maxHash
}

// Resize adjusts the lane of a model to the demand, which is the average number of
// interactive requests that all entries together have in flight.
func (l *Lane) Resize(model string, endpoints []*endpoint.Endpoint, demand float64) {
	next := make(map[string]lane)
	if old := l.lanes.Load(); old != nil {
		for name, current := range *old {
			next[name] = current
		}
	}
	size := laneSize(endpoints, demand)
	if old := next[model].size; size < old && laneSize(endpoints, demand/laneShrinkRatio) >= old {
		size = old
	}
	delete(next, model)
	if size > 0 {
		next[model] = lane{maxHash: nthHash(endpoints, size), size: size}
	}
	l.lanes.Store(&next)
}

func laneSize(endpoints []*endpoint.Endpoint, demand float64) int {
	if demand < minLaneDemand || len(endpoints) == 0 {
		return 0
	}
	total := 0.0
	for _, e := range endpoints {
		total += slots(e)
	}
	mean := total / float64(len(endpoints))
	size := math.Ceil(demand / (mean * laneUtilization))
	return int(min(size, maxLaneFraction*float64(len(endpoints))))
}

func hashOf(e *endpoint.Endpoint) uint64 { return xxhash.Sum64String(e.ID) }

// nthHash returns the n-th lowest hash of the endpoints.
func nthHash(endpoints []*endpoint.Endpoint, n int) uint64 {
	hashes := make([]uint64, len(endpoints))
	for i, e := range endpoints {
		hashes[i] = hashOf(e)
	}
	slices.SortFunc(hashes, cmp.Compare)
	return hashes[n-1]
}
