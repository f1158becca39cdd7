package fleet

import (
	"sync"
	"time"
)

// Parameters of the estimate of an engine's pace.
const (
	// paceRise and paceFall are the fractions by which the usual pace rises in a second of gaps
	// that are longer, and falls in a second of gaps that are shorter. It settles where the
	// shortest paceRise/(paceRise+paceFall) of the gaps are below it, however long the longest
	// are: other load on an engine's machine makes gaps longer for a while.
	paceRise = 0.15
	paceFall = 0.6
	// warmUpGaps is the number of gaps whose mean the estimate starts with, and minGap its
	// lowest value: events that were delayed arrive together.
	warmUpGaps = 16
	minGap     = time.Millisecond
	// runsMemory is how long a number of runs influences the average.
	runsMemory = 2 * time.Second
	// maxGapTime bounds the time that one gap stands for, so that the first gap after a pause
	// does not replace the estimate.
	maxGapTime = 100 * time.Millisecond
	// recentWeight is the weight of the latest gap in the recent pace.
	recentWeight = 0.25
	// disturbedAbove and undisturbedBelow are the recent pace relative to the usual one at
	// which a disturbance begins and ends.
	disturbedAbove   = 1.4
	undisturbedBelow = 1.2
)

// Pace estimates the time that an engine takes for one event of a stream: its usual pace
// with a single run, how this depends on the number of runs, and whether something
// disturbs the engine now. It is safe for concurrent use; the zero value is ready to use.
type Pace struct {
	mu sync.Mutex
	// observed is the number of gaps observed.
	observed int
	lastAt   time.Time
	// usual and recent are moving averages of the gap in seconds, corrected for the load:
	// of the last seconds, and of the last few gaps.
	usual, recent float64
	// disturbedSince is when the present disturbance began; zero if there is none.
	disturbedSince time.Time
	// runs is a moving average of the number of runs.
	runs float64
}

// Observe records the time between two events of a run while the engine had the given
// number of runs, and improves the estimate of the load's influence, which the engines of
// a service share.
func (p *Pace) Observe(gap time.Duration, runs int, slope *LoadSlope, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := float64(max(runs, 1))
	corrected := gap.Seconds() / slope.factor(n)
	if p.observed == 0 {
		p.usual, p.recent, p.runs = corrected, corrected, n
	}
	elapsed := min(now.Sub(p.lastAt), maxGapTime).Seconds()
	p.observed++
	p.lastAt = now
	p.recent += recentWeight * (corrected - p.recent)
	p.updateUsual(corrected, n, elapsed, slope)
	p.runs += elapsed / runsMemory.Seconds() * (n - p.runs)
	p.updateDisturbance(now)
}

// updateUsual updates the usual pace and the influence of the load with one gap that stands
// for the elapsed time. The caller holds p.mu.
func (p *Pace) updateUsual(gap, runs, elapsed float64, slope *LoadSlope) {
	if p.observed <= warmUpGaps {
		p.usual += (gap - p.usual) / float64(p.observed)
	} else {
		change := paceRise * elapsed
		if gap < p.usual {
			change = -paceFall * elapsed
		}
		p.usual *= 1 + change
		slope.adjust(change * (runs - p.runs))
	}
	p.usual = max(p.usual, minGap.Seconds())
}

// updateDisturbance notes when a disturbance begins or ends. The caller holds p.mu.
func (p *Pace) updateDisturbance(now time.Time) {
	switch ratio := p.recent / p.usual; {
	case ratio > disturbedAbove && p.disturbedSince.IsZero():
		p.disturbedSince = now
	case ratio < undisturbedBelow:
		p.disturbedSince = time.Time{}
	}
}

// PaceSample is what is known of an engine's pace at one moment. The zero value means
// that the engine was not observed yet.
type PaceSample struct {
	// Gap is the usual time between two events of a run that is alone on the engine.
	Gap time.Duration
	// Slowdown is the recent gap relative to the usual one, at least 1, and DisturbedFor is
	// how long it has been high; zero if nothing disturbs the engine.
	Slowdown     float64
	DisturbedFor time.Duration
	// Age is the time since the last observed gap.
	Age time.Duration
}

// Sample returns the present estimate.
func (p *Pace) Sample(now time.Time) PaceSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observed == 0 {
		return PaceSample{}
	}
	s := PaceSample{
		Gap: time.Duration(p.usual * float64(time.Second)), Slowdown: 1, Age: now.Sub(p.lastAt),
	}
	if !p.disturbedSince.IsZero() {
		s.Slowdown = max(p.recent/p.usual, 1)
		s.DisturbedFor = p.lastAt.Sub(p.disturbedSince)
	}
	return s
}

// Bounds of the estimated influence of the load, and how fast the estimate changes.
const (
	initialLoadSlope = 0.02
	maxLoadSlope     = 0.3
	loadSlopeRate    = 0.004
)

// LoadSlope estimates by which fraction each further run slows down an engine. It changes
// as long as gaps are above the usual pace more often while the engine has more runs than
// on average, or fewer. The engines of a service share it. It is not safe for concurrent
// use.
type LoadSlope struct {
	value float64
}

// NewLoadSlope returns the estimate before any observation.
func NewLoadSlope() *LoadSlope { return &LoadSlope{value: initialLoadSlope} }

func (s *LoadSlope) adjust(by float64) {
	s.value = min(max(s.value+loadSlopeRate*by, 0), maxLoadSlope)
}

func (s *LoadSlope) factor(runs float64) float64 { return 1 + s.value*max(runs-1, 0) }

// Factor returns how much longer an event takes with the given number of runs than with
// one.
func (s *LoadSlope) Factor(runs int) float64 { return s.factor(float64(runs)) }
