package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func peers(n int, nanos int64) []EndpointLatency {
	all := make([]EndpointLatency, n)
	for i := range all {
		all[i] = EndpointLatency{ID: fmt.Sprintf("engine-%d", i), TokenNanos: nanos}
	}
	return all
}

func TestOutliersAreDemotedGraduallyAndProbedBack(t *testing.T) {
	var o Outliers
	samples := peers(9, 1e6)
	now := testNow
	require.Empty(t, o.Decide(samples, now))
	samples[2].TokenNanos, samples[5].TokenNanos = 10e6, 10e6
	last := 0.0
	for range 10 {
		now = now.Add(time.Second)
		demotion := o.Decide(samples, now)["engine-2"]
		require.GreaterOrEqual(t, demotion, last)
		require.LessOrEqual(t, demotion-last, demoteStep)
		last = demotion
	}
	require.InDelta(t, maxDemotion, last, 0.06)
	samples[2].TokenNanos, samples[5].TokenNanos = 1e6, 1e6
	for range 10 {
		now = now.Add(time.Second)
		o.Decide(samples, now)
	}
	require.Empty(t, o.Decide(samples, now))
}

func TestUnevenButHealthyPeersAreLeftAlone(t *testing.T) {
	var o Outliers
	samples := peers(9, 1e6)
	samples[0].TokenNanos = 19e5
	samples[1].TokenNanos = 0
	require.Empty(t, o.Decide(samples, testNow))
	require.Empty(t, o.Decide(peers(1, 9e9), testNow.Add(time.Second)), "nobody to compare with")
}

func TestDemotionNeverTakesMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Outliers
		samples := peers(rapid.IntRange(1, 30).Draw(t, "n"), 0)
		now := testNow
		for range 8 {
			for i := range samples {
				samples[i].TokenNanos = rapid.Int64Range(0, 1e9).Draw(t, "nanos")
			}
			now = now.Add(time.Second)
			demotions := o.Decide(samples, now)
			if 3*len(demotions) > len(samples) {
				t.Fatalf("%d of %d are demoted", len(demotions), len(samples))
			}
			for id, demotion := range demotions {
				if demotion <= 0 || demotion > maxDemotion {
					t.Fatalf("%s is demoted by %v", id, demotion)
				}
			}
		}
	})
}
