package submission

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Weights of the choice of an engine.
const (
	// defaultSlots stands in for the slots of an engine that does not tell them.
	defaultSlots = 8
	// slotCost is how much a run slows the others on its engine.
	slotCost = 0.04
	// farCost is what an engine in another failure domain counts.
	farCost = 0.02
	// slowFactor is how much longer than the median an engine may take for an
	// event before its runs are moved.
	slowFactor = 1.7
	// paceFresh is how long a measured pace is believed without a newer one.
	paceFresh = 3 * time.Second
)

// engines is the picture of a service's endpoints for one round of placing.
type engines struct {
	all []*fleet.Endpoint
	// taken are the runs on each, by id.
	taken  map[string]int
	median time.Duration
	zone   string
	now    time.Time
}

func newEngines(all []*fleet.Endpoint, zone string, now time.Time) *engines {
	p := &engines{all: all, taken: make(map[string]int, len(all)), zone: zone, now: now}
	var paces []time.Duration
	for _, e := range all {
		p.taken[e.ID] = int(e.Live.InFlight())
		if pace, at := e.Live.Pace(); pace > 0 && !e.Draining && now.Sub(at) < paceFresh {
			paces = append(paces, pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		p.median = paces[(len(paces)-1)/2]
	}
	return p
}

// factor returns how many times the median an engine takes for an event.
func (p *engines) factor(e *fleet.Endpoint) float64 {
	pace, at := e.Live.Pace()
	if pace <= 0 || p.median <= 0 || p.now.Sub(at) > paceFresh {
		return 1
	}
	return max(float64(pace)/float64(p.median), 0.5)
}

func (p *engines) slow(e *fleet.Endpoint) bool { return p.factor(e) > slowFactor }

// need is what an item asks of an engine.
type need struct {
	model      string
	minVersion int64
	// version is the only version that may go on with the text; zero is any.
	version int64
}

func (n need) metBy(e *fleet.Endpoint) bool {
	version := e.Version(n.model)
	if n.version > 0 {
		return version == n.version
	}
	return version >= n.minVersion || version == 0 && n.minVersion <= 1
}

// filter reports whether the engine may take a run now.
func (p *engines) filter(e *fleet.Endpoint, n need) bool {
	if e.Draining || e.Live.Avoided(p.now) || e.Live.IsFull(p.now) || e.Live.IsLoading(p.now) {
		return false
	}
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return p.taken[e.ID] < slots && n.metBy(e)
}

// score estimates how long a token takes on the engine; lower is better.
func (p *engines) score(e *fleet.Endpoint) float64 {
	score := p.factor(e) * (1 + slotCost*float64(p.taken[e.ID]))
	if e.Zone != p.zone {
		score += farCost
	}
	return score
}

// choose picks the engine on which a text grows fastest, and counts the run.
func (p *engines) choose(n need) (*fleet.Endpoint, bool) {
	return p.pick(n, func(*fleet.Endpoint) bool { return true })
}

// better picks an engine that is worth a move: free, not slow, not loading.
func (p *engines) better(from *fleet.Endpoint, n need) (*fleet.Endpoint, bool) {
	return p.pick(n, func(e *fleet.Endpoint) bool { return e.ID != from.ID && !p.slow(e) })
}

// pick takes the engine of the lowest score among those that may take the run and
// are allowed, and counts the run.
func (p *engines) pick(n need, allowed func(*fleet.Endpoint) bool) (*fleet.Endpoint, bool) {
	var best *fleet.Endpoint
	for _, e := range p.all {
		if allowed(e) && p.filter(e, n) && (best == nil || p.score(e) < p.score(best)) {
			best = e
		}
	}
	if best == nil {
		return nil, false
	}
	p.taken[best.ID]++
	return best, true
}

// order sorts the items that wait: older submissions first, in each the groups
// that came back, then the longest expected, so that no long one is left for
// the end of the step.
func order(items []*item) {
	slices.SortStableFunc(items, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(a.of.head.AcceptedMillis, b.of.head.AcceptedMillis),
			compareBool(b.carried, a.carried),
			cmp.Compare(b.expected(), a.expected()))
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
