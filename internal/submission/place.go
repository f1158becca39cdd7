package submission

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/concurrency"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Parameters of the choice of an engine.
const (
	// defaultSlots is the number of slots assumed for an engine that does not report its own.
	defaultSlots = 8
	// initialGap is the time per event assumed until an engine of the service is observed.
	initialGap = 40 * time.Millisecond
	// remoteZoneCost is the fraction by which an engine in another failure domain counts as
	// slower, so that equal engines are chosen nearby.
	remoteZoneCost = 0.01
	// A disturbance of an engine is expected to last as long again as it has lasted, within
	// these bounds.
	minDisturbance = 300 * time.Millisecond
	maxDisturbance = 4 * time.Second
)

// engines is a snapshot of a service's endpoints for one scheduling round.
type engines struct {
	endpoints []*fleet.Endpoint
	// runs is the number of runs on each endpoint, by ID.
	runs    map[string]int
	samples map[string]fleet.PaceSample
	// leaves is when those endpoints leave that have announced it, by ID. The directory's
	// newest records say so: a run keeps the record with which it began.
	leaves map[string]time.Time
	// estimates are the states of the endpoints' concurrency estimates, by ID.
	estimates map[string]concurrency.State
	// usual is the median of the engines' usual times per event, and least the lowest.
	usual, least time.Duration
	loadSlope    *fleet.LoadSlope
	memory       engineMemory
	zone         string
	now          time.Time
}

func newEngines(endpoints []*fleet.Endpoint, loadSlope *fleet.LoadSlope, zone string, now time.Time) *engines {
	p := &engines{
		endpoints: endpoints, runs: make(map[string]int, len(endpoints)), samples: make(map[string]fleet.PaceSample, len(endpoints)),
		leaves: map[string]time.Time{}, estimates: make(map[string]concurrency.State, len(endpoints)),
		usual: initialGap, least: initialGap, loadSlope: loadSlope, zone: zone, now: now,
	}
	var observed []fleet.PaceSample
	for _, e := range endpoints {
		p.runs[e.ID] = int(e.Live.InFlight())
		sample := e.Live.Pace.Sample(now)
		p.samples[e.ID] = sample
		p.estimates[e.ID] = e.Live.Estimate.State(slotsOf(e), now)
		if !e.LeavesAt.IsZero() {
			p.leaves[e.ID] = e.LeavesAt
		}
		if sample.Gap > 0 {
			observed = append(observed, sample)
		}
	}
	if len(observed) > 0 {
		slices.SortFunc(observed, func(a, b fleet.PaceSample) int { return cmp.Compare(a.Gap, b.Gap) })
		p.usual, p.least = observed[(len(observed)-1)/2].Gap, observed[0].Gap
	}
	return p
}

// usualGap returns an engine's usual time per event with the given number of runs: the
// service's influence of the load, and beyond it what the engine itself slows down. An
// engine that was not observed yet counts as an average one.
func (p *engines) usualGap(e *fleet.Endpoint, runs int) time.Duration {
	gap := p.samples[e.ID].Gap
	if gap <= 0 {
		gap = p.usual
	}
	return time.Duration(float64(gap) * p.loadSlope.Factor(runs) * p.estimates[e.ID].Factor(float64(runs)))
}

// finishTime estimates how long an engine with the given number of runs, the new one
// included, takes for a number of events: at its usual pace, plus what it loses by the
// present disturbance.
func (p *engines) finishTime(e *fleet.Endpoint, runs int, events float64) time.Duration {
	usual := time.Duration(events * float64(p.usualGap(e, runs)))
	if e.Zone != p.zone {
		usual += time.Duration(remoteZoneCost * float64(usual))
	}
	s := p.samples[e.ID]
	if s.Slowdown <= 1 {
		return usual
	}
	lasts := min(max(s.DisturbedFor, minDisturbance), maxDisturbance) - s.Age
	disturbed := min(lasts, time.Duration(float64(usual)*s.Slowdown))
	return usual + max(time.Duration(float64(disturbed)*(1-1/s.Slowdown)), 0)
}

// need is what an item requires of an engine.
type need struct {
	model      string
	minVersion int64
	// version is the only version that may continue the text; zero allows any.
	version int64
	// tokens is how much of an engine's memory the item occupies.
	tokens int64
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
	return p.runs[e.ID] < slotsOf(e) && p.memory.fits(e, n.tokens) && p.usable(e, n)
}

// usable reports whether the engine can run an item if it has a free slot.
func (p *engines) usable(e *fleet.Endpoint, n need) bool {
	return !e.Leaving() && !e.Live.Avoided(p.now) && !e.Live.IsFull(p.now) && !e.Live.IsLoading(n.model, p.now) && n.satisfiedBy(e)
}

// anyServes reports whether an engine serves the only version that may continue a text.
func (p *engines) anyServes(n need) bool {
	return slices.ContainsFunc(p.endpoints, func(e *fleet.Endpoint) bool { return !e.Leaving() && n.satisfiedBy(e) })
}

func slotsOf(e *fleet.Endpoint) int {
	if e.Slots <= 0 {
		return defaultSlots
	}
	return e.Slots
}

// anyLoading reports whether an engine is loading weights of the model.
func (p *engines) anyLoading(model string) bool {
	return slices.ContainsFunc(p.endpoints, func(e *fleet.Endpoint) bool {
		return !e.Leaving() && e.Live.IsLoading(model, p.now)
	})
}

// choose picks the engine that is expected to finish the given number of events first, and
// adds the run to the engine's number of runs. It returns false if no engine can accept
// the run.
func (p *engines) choose(n need, events float64) (*fleet.Endpoint, bool) {
	best, _ := p.fastest(n, events, nil)
	if best == nil {
		return nil, false
	}
	p.runs[best.ID]++
	p.memory.add(best.ID, n.tokens)
	return best, true
}

// Parameters of moves.
const (
	// moveCost is the time that a run loses by a move: a connection, its prompt is read
	// again, and an event that was begun is generated again.
	moveCost = 120 * time.Millisecond
	// minMoveGain is the expected gain beyond moveCost from which a move is worth its
	// connection.
	minMoveGain = 150 * time.Millisecond
	// minMoveShare is the same, as a fraction of the remaining time: estimates are not
	// exact.
	minMoveShare = 0.08
)

// betterEngine returns an engine that is expected to finish the given number of events of a
// run sooner than its present engine by more than a move costs. It returns false if there
// is none. The caller moves the run: the numbers of runs are changed accordingly.
func (p *engines) betterEngine(from *fleet.Endpoint, n need, events float64) (*fleet.Endpoint, bool) {
	present := p.finishTime(from, p.runs[from.ID], events)
	best, after := p.fastest(n, events, from)
	if best == nil || present-after < moveCost+max(minMoveGain, time.Duration(minMoveShare*float64(present))) {
		return nil, false
	}
	p.move(from, best, n)
	return best, true
}

// leaveMargin is how long before the announced time an engine is assumed to be gone: the
// announcement takes a while to arrive.
const leaveMargin = 500 * time.Millisecond

// leavesTooSoon reports whether an engine is known to leave before it is expected to finish
// the given number of events of a run.
func (p *engines) leavesTooSoon(e *fleet.Endpoint, events float64) bool {
	at, leaves := p.leaves[e.ID]
	return leaves && p.now.Add(p.finishTime(e, p.runs[e.ID], events)).After(at.Add(-leaveMargin))
}

// reservationTime is how long a slot is kept for an item that moves; its old run ends within
// milliseconds.
const reservationTime = 200 * time.Millisecond

// reservation is a slot that is kept for an item until it runs there or the time is over.
type reservation struct {
	endpoint string
	until    time.Time
	tokens   int64
}

// reserve counts a reserved slot as taken, and release as free again.
func (p *engines) reserve(r reservation, now time.Time) {
	if now.Before(r.until) {
		p.runs[r.endpoint]++
		p.memory.add(r.endpoint, r.tokens)
	}
}

func (p *engines) release(r reservation, now time.Time) {
	if now.Before(r.until) {
		p.runs[r.endpoint]--
		p.memory.add(r.endpoint, -r.tokens)
	}
}

// otherEngine returns the engine other than the present one that is expected to finish
// the run first.
func (p *engines) otherEngine(from *fleet.Endpoint, n need, events float64) (*fleet.Endpoint, bool) {
	best, _ := p.fastest(n, events, from)
	if best == nil {
		return nil, false
	}
	p.move(from, best, n)
	return best, true
}

func (p *engines) move(from, to *fleet.Endpoint, n need) {
	p.runs[from.ID]--
	p.runs[to.ID]++
	p.memory.add(from.ID, -n.tokens)
	p.memory.add(to.ID, n.tokens)
}

// fastest returns the engine, other than the excluded one, that can accept the run and is
// expected to finish it first, and the expected time. It returns nil if there is none.
func (p *engines) fastest(n need, events float64, excluded *fleet.Endpoint) (*fleet.Endpoint, time.Duration) {
	var best *fleet.Endpoint
	var bestTime time.Duration
	for _, e := range p.endpoints {
		if excluded != nil && e.ID == excluded.ID || !p.accepts(e, n) {
			continue
		}
		if t := p.finishTime(e, p.runs[e.ID]+1, events); best == nil || t < bestTime {
			best, bestTime = e, t
		}
	}
	return best, bestTime
}

// candidate is an item that is to be placed or moved, with the expected number of events
// that it lacks.
type candidate struct {
	*item
	remaining float64
}

// sortOldestFirst sorts items: older submissions first; within a submission carried-over
// items first, then those that lack most, so that no long item is left for the end of the
// step.
func sortOldestFirst(items []candidate) {
	slices.SortFunc(items, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.submission.head.AcceptedMillis, b.submission.head.AcceptedMillis),
			compareBool(b.carriedOver, a.carriedOver),
			cmp.Compare(b.remaining, a.remaining),
			cmp.Compare(b.expected(), a.expected()),
			cmp.Compare(a.record.GetId(), b.record.GetId()))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
