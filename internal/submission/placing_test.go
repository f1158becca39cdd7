package submission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// simSites are services of engines under different loads: few slots and a small influence
// of the load, many slots and a large one, and engines that turn slow.
var simSites = map[string]simSite{
	"half full":        {engines: 9, slots: 8, slope: 0.003, steps: []int{32, 36}, rounds: 5, interval: 7 * time.Second},
	"full":             {engines: 5, slots: 8, slope: 0.003, steps: []int{32, 36}, rounds: 5, interval: 7 * time.Second},
	"batching costs":   {engines: 9, slots: 8, slope: 0.04, steps: []int{32, 36}, rounds: 5, interval: 7 * time.Second},
	"speeds differ":    {engines: 9, slots: 8, slope: 0.003, speeds: []float64{0.7, 0.7, 1.7}, steps: []int{32, 36}, rounds: 5, interval: 7 * time.Second},
	"knees at 1/3":     {engines: 9, slots: 24, slope: 0.003, knees: [3]float64{8, 24, 24}, steps: []int{64, 72}, rounds: 5, interval: 7 * time.Second},
	"all knees at 1/3": {engines: 9, slots: 24, slope: 0.003, knees: [3]float64{8, 8, 8}, steps: []int{32, 36}, rounds: 5, interval: 7 * time.Second},
	"engines go slow":  {engines: 9, slots: 8, slope: 0.003, steps: []int{32, 36}, rounds: 3, interval: 7 * time.Second, slow: true},
}

// meanStretch returns the mean over seeds of the time of steps relative to their lower
// bound, and of the number of moves.
func meanStretch(policy simPolicy, site simSite, seeds int) (stretch, moves float64) {
	for seed := range seeds {
		one, s := play(policy, site, uint64(seed))
		stretch += one
		moves += float64(s.moves)
	}
	return stretch / float64(seeds), moves / float64(seeds)
}

// TestExpectedFinishShortensSteps plays steps and compares the time until their last text
// is complete with the naive choice of the least loaded engine.
func TestExpectedFinishShortensSteps(t *testing.T) {
	const seeds = 6
	for name, site := range simSites {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			naive, _ := meanStretch(leastLoaded, site, seeds)
			ours, moves := meanStretch(expectedFinish, site, seeds)
			t.Logf("%s: step time relative to the longest text alone: naive %.3f, ours %.3f with %.0f moves", name, naive, ours, moves)
			require.Less(t, ours, naive)
		})
	}
}

// TestLengthsAreLearned checks the expected remaining lengths: a text that outlives its
// hint is expected to go on, and hints are converted from tokens to events.
func TestLengthsAreLearned(t *testing.T) {
	var l lengths
	require.EqualValues(t, 7, l.remaining(1000, 7), "nothing is known")
	rng := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		l.observe(3000, int(50*math.Exp(0.5*rng.NormFloat64()))+1)
	}
	require.InEpsilon(t, 50*math.Exp(0.125), l.remaining(3000, 0), 0.1)
	require.InEpsilon(t, 100*math.Exp(0.125), l.remaining(6000, 0), 0.1)
	require.InEpsilon(t, 0.5, l.spread(), 0.1)
	last := l.remaining(3000, 0) + 1
	for events := 10; events <= 50; events += 10 {
		left := l.remaining(3000, events)
		require.Less(t, left, last)
		require.Greater(t, left, float64(55-events), "the mean of the longer texts")
		last = left
	}
	require.Greater(t, l.remaining(3000, 400), 30.0)
	require.Greater(t, l.remaining(1, 200), 1.0, "far beyond its hint")
}

// TestPhasesAddUp checks that the parts of an item's time add up to its whole time.
func TestPhasesAddUp(t *testing.T) {
	began := testNow()
	at := func(ms int) time.Time { return began.Add(millis(ms)) }
	tm := newTiming(began, at(5))
	tm.wait(false, at(10))
	tm.wait(true, at(20))
	tm.start(true, at(50))
	tm.event(millis(40), at(100))
	tm.event(millis(40), at(140))
	tm.event(millis(40), at(240))
	tm.start(false, at(250))
	tm.event(millis(40), at(300))
	tm.enter(phaseScoring, at(310))
	tm.enter(phaseWriting, at(500))
	tm.enter(phaseReading, at(520))
	tm.enter(phaseReading, at(600))
	want := map[phase]int{
		phaseOpening: 5, phaseWaiting: 15, phaseLoading: 30, phaseStarting: 50, phaseGenerating: 100, phaseSlower: 60,
		phaseMoving: 50, phaseScoring: 190, phaseWriting: 20, phaseReading: 80,
	}
	sum := time.Duration(0)
	for p, spent := range tm.spent {
		require.Equal(t, millis(want[phase(p)]), spent, phase(p).String())
		sum += spent
	}
	require.Equal(t, millis(600), sum)
	require.Equal(t, 1, tm.moves)
}

// TestReservedSlotIsKept checks that the slot to which an item moves is not given to
// another one meanwhile, and not kept for long.
func TestReservedSlotIsKept(t *testing.T) {
	f := newFixture(1) // one engine with four slots
	now := testNow()
	engines := newEngines(f.directory.Of("s"), fleet.NewLoadSlope(), "z", now)
	n := need{model: "m", minVersion: 1}
	moving := reservation{endpoint: "e0", until: now.Add(reservationTime)}
	engines.reserve(moving, now)
	engines.reserve(reservation{endpoint: "e0", until: now}, now) // is over
	for range 3 {
		_, ok := engines.choose(n, 10)
		require.True(t, ok)
	}
	_, ok := engines.choose(n, 10)
	require.False(t, ok, "the last slot is reserved")
	engines.release(moving, now)
	_, ok = engines.choose(n, 10)
	require.True(t, ok)
}
