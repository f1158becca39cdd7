package concurrency

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// steady observes requests of one multiple of the usual time, one each 20 ms, and returns
// the time after them.
func steady(e *Estimate, multiple, inFlight float64, count int, now time.Time) time.Time {
	for range count {
		now = now.Add(20 * time.Millisecond)
		e.Observe(multiple, inFlight, testSlots, now)
	}
	return now
}

// TestOneSlowAnswerChangesLittle checks that neither a cold start nor one answer that takes
// a hundred times as long makes an endpoint look slow.
func TestOneSlowAnswerChangesLittle(t *testing.T) {
	var e Estimate
	now := steady(&e, 20, 1, 2, baseTime) // connections, caches
	now = steady(&e, 1, 3, 50, now)
	require.Equal(t, 1.0, e.State(testSlots, now).Multiple(3))
	e.Observe(100, 3, testSlots, now)
	require.Less(t, e.State(testSlots, now).Multiple(3), certainFactor)
}

// TestLastingChangeIsFoundSoon checks that an endpoint that turns slow is known as slow
// after a few answers, and as usual after a few usual ones.
func TestLastingChangeIsFoundSoon(t *testing.T) {
	var e Estimate
	now := steady(&e, 1, 3, 100, baseTime)
	now = steady(&e, 3, 3, 6, now)
	require.Greater(t, e.State(testSlots, now).Multiple(3), 2.0)
	now = steady(&e, 3, 3, 500, now)
	state := e.State(testSlots, now)
	require.InDelta(t, 3, state.Base, 0.1)
	require.Equal(t, 1.0, state.Slowdown)
	now = steady(&e, 1, 3, 200, now)
	require.Equal(t, 1.0, e.State(testSlots, now).Multiple(3))
}

// TestStaleEstimateIsProbedOnceAndFades checks that an endpoint that nothing was sent to is
// to be tried by one request at a time, and that it is not believed slow forever.
func TestStaleEstimateIsProbedOnceAndFades(t *testing.T) {
	var e Estimate
	now := steady(&e, 1, 1, 10, baseTime)
	now = steady(&e, 5, 1, 10, now)
	require.False(t, e.Probe(now))
	now = now.Add(staleAfter + 1)
	require.True(t, e.State(testSlots, now).Stale)
	require.True(t, e.Probe(now))
	require.False(t, e.Probe(now), "one is enough")
	require.False(t, e.State(testSlots, now).Stale)
	require.Equal(t, 1.0, e.State(testSlots, now.Add(5*baseFade)).Multiple(1))
}

// TestRefusalsBoundTheLimitForAWhile checks that the limit follows refusals, and returns.
func TestRefusalsBoundTheLimitForAWhile(t *testing.T) {
	var e Estimate
	require.Equal(t, State{Base: 1, Slowdown: 1, Limit: testSlots}, e.State(testSlots, baseTime))
	e.ObserveRefusal(6, baseTime)
	require.Equal(t, 6.0, e.State(testSlots, baseTime).Limit)
	require.Equal(t, ReasonRefusals, e.State(testSlots, baseTime).Reason)
	require.Equal(t, 15.0, e.State(testSlots, baseTime.Add(refusalMemory/2)).Limit)
	require.Equal(t, float64(testSlots), e.State(testSlots, baseTime.Add(refusalMemory)).Limit)
}

// TestGivenUpRequestsCount checks that an endpoint whose requests are always given up is
// found to be slow, and that requests that were given up early say nothing.
func TestGivenUpRequestsCount(t *testing.T) {
	var e Estimate
	now := steady(&e, 1, 1, 20, baseTime)
	for range 10 {
		e.ObserveAtLeast(0.5, 1, testSlots, now)
	}
	require.Equal(t, 1.0, e.State(testSlots, now).Multiple(1))
	for range 10 {
		e.ObserveAtLeast(3, 1, testSlots, now)
	}
	require.Greater(t, e.State(testSlots, now).Multiple(1), 2.0)
}

// TestEstimateStaysWithinBounds checks that no sequence of observations leaves the bounds.
func TestEstimateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimate
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		now := baseTime
		for range rapid.IntRange(0, 300).Draw(t, "count") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			inFlight := rapid.Float64Range(0, 200).Draw(t, "inFlight")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				e.ObserveRefusal(inFlight, now)
			case 1:
				e.ObserveAtLeast(rapid.Float64Range(0, 1000).Draw(t, "multiple"), inFlight, slots, now)
			default:
				e.Observe(rapid.Float64Range(0, 1000).Draw(t, "multiple"), inFlight, slots, now)
			}
			s := e.State(slots, now)
			if s.Limit < 1 || s.Limit > float64(slots) || s.Slowdown < 1 || !(s.Multiple(inFlight) > 0) || math.IsInf(s.Multiple(inFlight), 0) {
				t.Fatalf("%+v", s)
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	var e Estimate
	now := baseTime
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		e.Observe(1+float64(i%7)/10, float64(1+i%16), testSlots, now)
	}
}

func BenchmarkObserveSeldom(b *testing.B) {
	var e Estimate
	now := baseTime
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(sampleInterval)
		e.Observe(1+float64(i%7)/10, float64(1+i%16), testSlots, now)
	}
}

func BenchmarkState(b *testing.B) {
	var e Estimate
	now := steady(&e, 1, 3, 100, baseTime)
	b.ReportAllocs()
	for b.Loop() {
		e.State(testSlots, now)
	}
}
