package submission

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Parameters of the choice of an engine.
const (
	// defaultSlots is the number of slots assumed for an engine that does not report its own.
	defaultSlots = 8
	// slotCost is the fraction by which each run is assumed to slow down the others on its
	// engine.
	slotCost = 0.04
	// remoteZoneCost is added to the score of an engine in another failure domain.
	remoteZoneCost = 0.02
	// slowFactor is the time per event, relative to the median, above which an engine is
	// slow and its runs are moved.
	slowFactor = 1.7
	// paceMaxAge is how long a measured pace is used without a newer measurement.
	paceMaxAge = 3 * time.Second
)

// engines is a snapshot of a service's endpoints for one scheduling round.
type engines struct {
	endpoints []*fleet.Endpoint
	// runs is the number of runs on each endpoint, by ID.
	runs   map[string]int
	median time.Duration
	zone   string
	now    time.Time
}

func newEngines(endpoints []*fleet.Endpoint, zone string, now time.Time) *engines {
	p := &engines{endpoints: endpoints, runs: make(map[string]int, len(endpoints)), zone: zone, now: now}
	var measured []time.Duration
	for _, e := range endpoints {
		p.runs[e.ID] = int(e.Live.InFlight())
		if pace, at := e.Live.Pace(); pace > 0 && !e.Draining && now.Sub(at) < paceMaxAge {
			measured = append(measured, pace)
		}
	}
	if len(measured) > 0 {
		slices.Sort(measured)
		p.median = measured[(len(measured)-1)/2]
	}
	return p
}

// factor returns an engine's time per event relative to the median.
func (p *engines) factor(e *fleet.Endpoint) float64 {
	pace, at := e.Live.Pace()
	if pace <= 0 || p.median <= 0 || p.now.Sub(at) > paceMaxAge {
		return 1
	}
	return max(float64(pace)/float64(p.median), 0.5)
}

func (p *engines) slow(e *fleet.Endpoint) bool { return p.factor(e) > slowFactor }

// need is what an item requires of an engine.
type need struct {
	model      string
	minVersion int64
	// version is the only version that may continue the text; zero allows any.
	version int64
}

func (n need) satisfiedBy(e *fleet.Endpoint) bool {
	version := e.Version(n.model)
	if n.version > 0 {
		return version == n.version
	}
	return version >= n.minVersion || version == 0 && n.minVersion <= 1
}

// accepts reports whether the engine can accept a run now.
func (p *engines) accepts(e *fleet.Endpoint, n need) bool {
	if e.Draining || e.Live.Avoided(p.now) || e.Live.IsFull(p.now) || e.Live.IsLoading(p.now) {
		return false
	}
	slots := e.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return p.runs[e.ID] < slots && n.satisfiedBy(e)
}

// score estimates the relative time per token on the engine; lower is better.
func (p *engines) score(e *fleet.Endpoint) float64 {
	score := p.factor(e) * (1 + slotCost*float64(p.runs[e.ID]))
	if e.Zone != p.zone {
		score += remoteZoneCost
	}
	return score
}

// choose picks the engine with the lowest expected time per token and adds the run to the
// engine's number of runs.
func (p *engines) choose(n need) (*fleet.Endpoint, bool) {
	return p.pick(n, func(*fleet.Endpoint) bool { return true })
}

// chooseMoveTarget picks an engine that a run is worth moving to: it has a free slot, is
// not slow and is not loading weights.
func (p *engines) chooseMoveTarget(from *fleet.Endpoint, n need) (*fleet.Endpoint, bool) {
	return p.pick(n, func(e *fleet.Endpoint) bool { return e.ID != from.ID && !p.slow(e) })
}

// pick returns the engine with the lowest score among the allowed ones that can accept
// the run, and adds the run to its number of runs. It returns false if there is no such
// engine.
func (p *engines) pick(n need, allowed func(*fleet.Endpoint) bool) (*fleet.Endpoint, bool) {
	var best *fleet.Endpoint
	for _, e := range p.endpoints {
		if allowed(e) && p.accepts(e, n) && (best == nil || p.score(e) < p.score(best)) {
			best = e
		}
	}
	if best == nil {
		return nil, false
	}
	p.runs[best.ID]++
	return best, true
}

// sortByPriority sorts waiting items: older submissions first; within a submission
// carried-over items first, then the longest expected, so that no long item is left for
// the end of the step.
func sortByPriority(items []*item) {
	slices.SortStableFunc(items, func(a, b *item) int {
		return cmp.Or(
			cmp.Compare(a.submission.head.AcceptedMillis, b.submission.head.AcceptedMillis),
			compareBool(b.carriedOver, a.carriedOver),
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
