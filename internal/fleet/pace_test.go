package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// generate observes an engine for a while: several runs make events at the given gap, which
// grows with the number of runs, and disturbances make it 2.5 times longer for 600 ms each.
func generate(p *Pace, slope *LoadSlope, rng *rand.Rand, gap time.Duration, trueSlope, disturbed float64, from time.Time, d time.Duration) time.Time {
	now := from
	for now.Sub(from) < d {
		factor := 1.0
		if rng.Float64() < disturbed {
			factor = 2.5
		}
		runs := 1 + rng.IntN(8)
		for end := now.Add(600 * time.Millisecond); now.Before(end); {
			one := time.Duration(float64(gap) * factor * (1 + trueSlope*float64(runs-1)) * (0.95 + 0.1*rng.Float64()))
			for range runs {
				now = now.Add(one / time.Duration(runs))
				p.Observe(one, runs, slope, now)
			}
		}
	}
	return now
}

// TestPaceIgnoresShortDisturbances checks that the usual pace and the influence of the
// load are learned although other load disturbs the engine for a fifth of the time.
func TestPaceIgnoresShortDisturbances(t *testing.T) {
	for _, trueSlope := range []float64{0.003, 0.04} {
		rng := rand.New(rand.NewPCG(1, 2))
		slope := NewLoadSlope()
		var now time.Time
		for _, gap := range []time.Duration{37 * time.Millisecond, 48 * time.Millisecond, 37 * time.Millisecond} {
			var p Pace
			now = generate(&p, slope, rng, gap, trueSlope, 0.2, baseTime, 30*time.Second)
			require.InEpsilon(t, gap.Seconds(), p.Sample(now).Gap.Seconds(), 0.12)
		}
		require.InDelta(t, trueSlope, slope.Factor(2)-1, 0.012)
	}
}

// TestPaceFollowsAnEngineThatStaysSlow checks that an engine that is slow for long counts
// as a slow one, and as a fast one soon after it recovered.
func TestPaceFollowsAnEngineThatStaysSlow(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	slope := NewLoadSlope()
	var p Pace
	now := generate(&p, slope, rng, 37*time.Millisecond, 0, 0, baseTime, 5*time.Second)
	now = generate(&p, slope, rng, 110*time.Millisecond, 0, 0, now, time.Second)
	require.Greater(t, p.Sample(now).Slowdown, 2.0)
	require.InDelta(t, time.Second, p.Sample(now).DisturbedFor, float64(700*time.Millisecond))
	now = generate(&p, slope, rng, 110*time.Millisecond, 0, 0, now, 20*time.Second)
	require.InEpsilon(t, 0.110, p.Sample(now).Gap.Seconds(), 0.12)
	now = generate(&p, slope, rng, 37*time.Millisecond, 0, 0, now, 4*time.Second)
	require.InEpsilon(t, 0.037, p.Sample(now).Gap.Seconds(), 0.12)
	require.Equal(t, 1.0, p.Sample(now).Slowdown)
}

// TestUnobservedEngineHasNoPace checks that nothing is claimed of an engine without events.
func TestUnobservedEngineHasNoPace(t *testing.T) {
	var p Pace
	require.Zero(t, p.Sample(baseTime))
}

// TestEventsThatArriveTogetherAreNoPace checks that events without a gap between them,
// because they were delayed, do not make an engine look fast.
func TestEventsThatArriveTogetherAreNoPace(t *testing.T) {
	var p Pace
	slope := NewLoadSlope()
	now := baseTime
	for range 4 {
		for _, gap := range []time.Duration{0, 0, 0, 148} {
			now = now.Add(gap * time.Millisecond)
			p.Observe(gap*time.Millisecond, 1, slope, now)
		}
	}
	require.InEpsilon(t, 0.037, p.Sample(now).Gap.Seconds(), 0.05)
	var still Pace
	for range 40 {
		still.Observe(0, 1, slope, now)
	}
	require.Equal(t, minGap, still.Sample(now).Gap)
	require.Equal(t, 1.0, still.Sample(now).Slowdown)
}
