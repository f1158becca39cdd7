package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func equalLatencies(n int, nanos int64) []EndpointLatency {
	latencies := make([]EndpointLatency, n)
	for i := range latencies {
		latencies[i] = EndpointLatency{ID: fmt.Sprintf("engine-%d", i), TokenNanos: nanos}
	}
	return latencies
}

func TestOutliersAreDemotedGraduallyAndRecover(t *testing.T) {
	var o Outliers
	latencies := equalLatencies(9, 1e6)
	now := testNow
	require.Empty(t, o.Decide(latencies, now))
	latencies[2].TokenNanos, latencies[5].TokenNanos = 10e6, 10e6
	last := 0.0
	for range 10 {
		now = now.Add(time.Second)
		demotion := o.Decide(latencies, now)["engine-2"]
		require.GreaterOrEqual(t, demotion, last)
		require.LessOrEqual(t, demotion-last, demoteStep)
		last = demotion
	}
	require.InDelta(t, maxDemotion, last, 0.06)
	latencies[2].TokenNanos, latencies[5].TokenNanos = 1e6, 1e6
	for range 10 {
		now = now.Add(time.Second)
		o.Decide(latencies, now)
	}
	require.Empty(t, o.Decide(latencies, now))
}

func TestHealthyPeersAreNotDemoted(t *testing.T) {
	var o Outliers
	latencies := equalLatencies(9, 1e6)
	latencies[0].TokenNanos = 19e5
	latencies[1].TokenNanos = 0
	require.Empty(t, o.Decide(latencies, testNow))
	require.Empty(t, o.Decide(equalLatencies(1, 9e9), testNow.Add(time.Second)), "there are no peers to compare with")
}

func TestDemotedFractionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Outliers
		latencies := equalLatencies(rapid.IntRange(1, 30).Draw(t, "n"), 0)
		now := testNow
		for range 8 {
			for i := range latencies {
				latencies[i].TokenNanos = rapid.Int64Range(0, 1e9).Draw(t, "nanos")
			}
			now = now.Add(time.Second)
			demotions := o.Decide(latencies, now)
			if 3*len(demotions) > len(latencies) {
				t.Fatalf("%d of %d endpoints are demoted", len(demotions), len(latencies))
			}
			for id, demotion := range demotions {
				if demotion <= 0 || demotion > maxDemotion {
					t.Fatalf("%s is demoted by %v", id, demotion)
				}
			}
		}
	})
}
