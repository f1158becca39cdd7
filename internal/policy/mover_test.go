package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func knownMover(work *Work) *StragglerDetector {
	m := &StragglerDetector{}
	for i := range 100 {
		m.ObserveSample(work, 20+i%20, time.Duration(20+i%20)*10*time.Millisecond)
	}
	return m
}

// movesOf feeds a sample of n tokens at one pace and returns where it moved.
func movesOf(w *SampleTracker, n int, pace time.Duration) []int {
	var at []int
	for tokens := 1; tokens <= n; tokens++ {
		if w.ObserveToken(testNow.Add(time.Duration(tokens)*pace), tokens) {
			at = append(at, tokens)
		}
	}
	return at
}

func TestOrdinarySamplesStay(t *testing.T) {
	work := &Work{Class: "training"}
	require.Empty(t, movesOf(knownMover(work).Track(work), 30, 15*time.Millisecond))
	require.Empty(t, movesOf((&StragglerDetector{}).Track(work), 500, time.Second), "nothing is known yet")
}

func TestLongSamplesMoveOnce(t *testing.T) {
	work := &Work{Class: "training"}
	w := knownMover(work).Track(work)
	at := movesOf(w, 500, 10*time.Millisecond)
	require.Len(t, at, 1)
	require.InDelta(t, 37, at[0], 2)
	require.True(t, w.Straggler())
}

func TestSlowSamplesMoveAFewTimes(t *testing.T) {
	work := &Work{Class: "training"}
	at := movesOf(knownMover(work).Track(work), 30, 40*time.Millisecond)
	require.Equal(t, []int{paceTokens + 1, 2*paceTokens + 2, 3*paceTokens + 3}, at)
}
