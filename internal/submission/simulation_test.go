package submission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// simPolicy decides where texts run: where a waiting text is placed, and whether a run is
// moved.
type simPolicy struct {
	place func(s *simulation, e *engines, j *simJob) (*fleet.Endpoint, bool)
	move  func(s *simulation, e *engines, j *simJob) (*fleet.Endpoint, bool)
}

// expectedFinish is the owner's policy.
var expectedFinish = simPolicy{
	place: func(s *simulation, e *engines, j *simJob) (*fleet.Endpoint, bool) {
		return e.choose(need{model: "m"}, s.remaining(j))
	},
	move: func(s *simulation, e *engines, j *simJob) (*fleet.Endpoint, bool) {
		if s.now.Sub(j.begun) < minRunTime {
			return nil, false
		}
		return e.betterEngine(j.on.endpoint, need{model: "m"}, s.remaining(j))
	},
}

// leastLoaded is the naive policy: the engine with the fewest runs, and no moves.
var leastLoaded = simPolicy{
	place: func(_ *simulation, e *engines, _ *simJob) (*fleet.Endpoint, bool) {
		var best *fleet.Endpoint
		for _, candidate := range e.endpoints {
			if e.accepts(candidate, need{model: "m"}) && (best == nil || e.runs[candidate.ID] < e.runs[best.ID]) {
				best = candidate
			}
		}
		if best == nil {
			return nil, false
		}
		e.runs[best.ID]++
		return best, true
	},
	move: func(*simulation, *engines, *simJob) (*fleet.Endpoint, bool) { return nil, false },
}

// simJob is one text of a step.
type simJob struct {
	step           int
	hint, length   int
	events         int
	on             *simEngine
	release        func()
	begun, last    time.Time
	nextAt, doneAt time.Time
}

// simEngine generates at its own speed. Other load on its machine slows it down for short
// times, and a fault for a long one.
type simEngine struct {
	endpoint          *fleet.Endpoint
	gap               time.Duration
	slope             float64
	knee              float64
	salt              uint64
	slowFrom, slowEnd time.Time
}

// Load of the simulated machines and costs of a move.
const (
	simNoiseTime   = 600 * time.Millisecond
	simNoiseShare  = 0.15
	simNoiseFactor = 2.5
	simSlowFactor  = 3.5
	simMoveCost    = 25 * time.Millisecond
	simTick        = 2 * time.Millisecond
)

func (e *simEngine) factor(now time.Time) float64 {
	epoch := uint64(now.UnixNano() / int64(simNoiseTime))
	factor := 1.0
	if rand.New(rand.NewPCG(epoch, e.salt)).Float64() < simNoiseShare {
		factor = simNoiseFactor
	}
	if now.After(e.slowFrom) && now.Before(e.slowEnd) {
		factor = max(factor, simSlowFactor)
	}
	return factor
}

// simulation plays steps of texts on engines in simulated time.
type simulation struct {
	policy  simPolicy
	start   time.Time
	now     time.Time
	engines []*simEngine
	byID    map[string]*simEngine
	lengths lengths
	slope   *fleet.LoadSlope
	jobs    []*simJob
	moves   int
	fastest time.Duration
	usual   time.Duration
}

// simSite is the size of a simulated service of engines, of which each third one is 1.3
// times slower than the others.
type simSite struct {
	engines, slots int
	// slope is the fraction by which each further run slows down an engine.
	slope float64
	// speeds multiply the time of every third engine; nil means the usual ones. knees is the
	// number of runs from which every third engine slows down, zero for none.
	speeds []float64
	knees  [3]float64
	// steps are the sizes of the steps that are asked for at the same time, each
	// stepInterval.
	steps    []int
	rounds   int
	slow     bool
	interval time.Duration
}

// play simulates a site and returns the mean over its steps of the time until all texts
// are complete, relative to the longest text alone on a fast engine.
func play(policy simPolicy, site simSite, seed uint64) (stretch float64, s *simulation) {
	s = newSimulation(policy, site, seed)
	lengths := rand.New(rand.NewPCG(seed, 11))
	rounds := 0
	for {
		if rounds < site.rounds && s.now.Sub(s.start) >= time.Duration(rounds)*site.interval {
			for i, size := range site.steps {
				s.addStep(lengths, rounds*len(site.steps)+i, size)
			}
			rounds++
		}
		if s.now.Sub(s.start)%roundInterval == 0 {
			s.round()
		}
		s.advance()
		if rounds == site.rounds && !slices.ContainsFunc(s.jobs, func(j *simJob) bool { return j.doneAt.IsZero() }) {
			return s.stretch(site), s
		}
	}
}

func newSimulation(policy simPolicy, site simSite, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := &simulation{policy: policy, now: time.Unix(1_700_000_000, 0), byID: map[string]*simEngine{}, slope: fleet.NewLoadSlope(), fastest: 37 * time.Millisecond, usual: initialGap}
	s.start = s.now
	for i := range site.engines {
		e := &simEngine{
			endpoint: &fleet.Endpoint{
				ID: fmt.Sprintf("e%02d", i), Service: "s", Zone: "z", Slots: site.slots, Versions: map[string]int64{"m": 1}, Live: &fleet.Live{},
			},
			gap: s.fastest, slope: site.slope, salt: rng.Uint64(),
		}
		if i%3 == 2 && site.speeds == nil {
			e.gap = e.gap * 13 / 10
		}
		if site.speeds != nil {
			e.gap = time.Duration(float64(e.gap) * site.speeds[i%3])
		}
		e.knee = site.knees[i%3]
		if site.slow && i%5 == 0 {
			e.slowFrom, e.slowEnd = s.now.Add(3*time.Second), s.now.Add(11*time.Second)
		}
		s.engines = append(s.engines, e)
		s.byID[e.endpoint.ID] = e
	}
	rng.Shuffle(len(s.engines), func(i, j int) { s.engines[i], s.engines[j] = s.engines[j], s.engines[i] })
	return s
}

// addStep adds the texts of a step: lengths are heavy-tailed, and their hints right at the
// median but often far off.
func (s *simulation) addStep(rng *rand.Rand, step, size int) {
	const tokensPerEvent, maxEvents = 59, 203
	for range size {
		length := 18.8 * math.Exp(0.9*rng.NormFloat64())
		if rng.Float64() < 0.08 {
			length *= 5
		}
		length = min(max(length, 1), maxEvents)
		hint := length * tokensPerEvent * math.Exp(0.5*rng.NormFloat64())
		s.jobs = append(s.jobs, &simJob{step: step, hint: int(hint) + 1, length: int(length)})
	}
}

func (s *simulation) remaining(j *simJob) float64 {
	return s.lengths.remaining(int64(j.hint), j.events)
}

// round places and moves runs in the owner's order.
func (s *simulation) round() {
	endpoints := make([]*fleet.Endpoint, 0, len(s.engines))
	for _, e := range s.engines {
		endpoints = append(endpoints, e.endpoint)
	}
	engines := newEngines(endpoints, s.slope, "z", s.now)
	s.usual = engines.usual
	var waiting, running []*simJob
	for _, j := range s.jobs {
		switch {
		case !j.doneAt.IsZero():
		case j.on == nil:
			waiting = append(waiting, j)
		default:
			running = append(running, j)
		}
	}
	s.sort(waiting)
	for _, j := range waiting {
		if e, ok := s.policy.place(s, engines, j); ok {
			s.run(j, e, 0)
		}
	}
	s.sort(running)
	for _, j := range running {
		if e, ok := s.policy.move(s, engines, j); ok {
			s.moves++
			j.release()
			s.run(j, e, simMoveCost)
		}
	}
}

func (s *simulation) sort(jobs []*simJob) {
	slices.SortStableFunc(jobs, func(a, b *simJob) int {
		return cmp.Or(cmp.Compare(a.step, b.step), cmp.Compare(s.remaining(b), s.remaining(a)))
	})
}

func (s *simulation) run(j *simJob, e *fleet.Endpoint, delay time.Duration) {
	j.on, j.begun, j.last = s.byID[e.ID], s.now, time.Time{}
	j.release = e.Live.Begin()
	j.nextAt = s.now.Add(delay + s.nextGap(j))
}

func (s *simulation) nextGap(j *simJob) time.Duration {
	runs := float64(j.on.endpoint.Live.InFlight())
	factor := 1 + j.on.slope*(runs-1)
	if j.on.knee > 0 {
		factor *= max(runs/j.on.knee, 1)
	}
	return time.Duration(float64(j.on.gap) * j.on.factor(s.now) * factor)
}

// advance plays the events of one tick.
func (s *simulation) advance() {
	s.now = s.now.Add(simTick)
	for _, j := range s.jobs {
		if j.on == nil || !j.doneAt.IsZero() || j.nextAt.After(s.now) {
			continue
		}
		if !j.last.IsZero() {
			observeGap(j.on.endpoint, s.now.Sub(j.last), s.usual, s.slope, s.now)
		}
		j.events++
		j.last = s.now
		if j.events < j.length {
			j.nextAt = j.nextAt.Add(s.nextGap(j))
			continue
		}
		j.doneAt = s.now
		j.release()
		s.lengths.observe(int64(j.hint), j.events)
	}
}

// stretch returns the mean over the steps of their time relative to the lower bound.
func (s *simulation) stretch(site simSite) float64 {
	type step struct {
		done    time.Duration
		longest int
	}
	steps := map[int]*step{}
	for _, j := range s.jobs {
		if steps[j.step] == nil {
			steps[j.step] = &step{}
		}
		begun := s.start.Add(time.Duration(j.step/len(site.steps)) * site.interval)
		steps[j.step].done = max(steps[j.step].done, j.doneAt.Sub(begun))
		steps[j.step].longest = max(steps[j.step].longest, j.length)
	}
	sum := 0.0
	for _, one := range steps {
		sum += float64(one.done) / float64(time.Duration(one.longest)*s.fastest)
	}
	return sum / float64(len(steps))
}
