package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// probePicks makes picks and records the given time per token for each pick of the first
// endpoint, which starts out slow. It returns how often that endpoint was picked and its
// final estimate of the time per token.
func probePicks(t *testing.T, work *Work, slow time.Duration, picks int) (first int, last time.Duration) {
	t.Helper()
	endpoints := fleet(9)
	for _, e := range endpoints {
		e.Live.TokenNanos.Store(int64(5 * time.Millisecond))
	}
	endpoints[0].Live.TokenNanos.Store(int64(50 * time.Millisecond))
	random := seeded(1)
	for range picks {
		e, ok := chooser().Pick(endpoints, work, testNow, random)
		require.True(t, ok)
		if e == endpoints[0] {
			first++
			e.Live.ObserveTokens(1, slow)
		}
	}
	return first, time.Duration(endpoints[0].Live.TokenNanos.Load())
}

func TestSlowEndpointIsProbedRarely(t *testing.T) {
	probes, _ := probePicks(t, &Work{ExpectedTokens: 10, Idempotent: true, Interactive: true}, 50*time.Millisecond, 10000)
	require.InDelta(t, 10000*interactiveProbeFraction, probes, 20)
	probes, _ = probePicks(t, &Work{ExpectedTokens: 10}, 50*time.Millisecond, 1000)
	require.Zero(t, probes, "work that is not idempotent must not probe")
}

func TestRecoveredEndpointIsDetected(t *testing.T) {
	_, learned := probePicks(t, &Work{ExpectedTokens: 10, Idempotent: true}, 5*time.Millisecond, 2000)
	require.LessOrEqual(t, learned, time.Duration(probeRatio*float64(5*time.Millisecond)))
}
