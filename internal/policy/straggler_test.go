package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func trainedDetector(work *Work) *StragglerDetector {
	m := &StragglerDetector{}
	for i := range 100 {
		m.ObserveSample(work, 20+i%20, time.Duration(20+i%20)*10*time.Millisecond)
	}
	return m
}

// simulateMoves tracks a sample of n tokens at a constant time per token and returns the
// token counts at which it moves.
func simulateMoves(tracker *SampleTracker, n int, pace time.Duration) []int {
	var positions []int
	for tokens := 1; tokens <= n; tokens++ {
		if tracker.ObserveToken(testNow.Add(time.Duration(tokens)*pace), tokens) {
			positions = append(positions, tokens)
		}
	}
	return positions
}

func TestOrdinarySamplesDoNotMove(t *testing.T) {
	work := &Work{Class: "training"}
	require.Empty(t, simulateMoves(trainedDetector(work).Track(work), 30, 15*time.Millisecond))
	require.Empty(t, simulateMoves((&StragglerDetector{}).Track(work), 500, time.Second), "there are no observations yet")
}

func TestLongSamplesMoveOnce(t *testing.T) {
	work := &Work{Class: "training"}
	tracker := trainedDetector(work).Track(work)
	positions := simulateMoves(tracker, 500, 10*time.Millisecond)
	require.Len(t, positions, 1)
	require.InDelta(t, 37, positions[0], 2)
	require.True(t, tracker.Straggler())
}

func TestSlowSamplesMoveAFewTimes(t *testing.T) {
	work := &Work{Class: "training"}
	positions := simulateMoves(trainedDetector(work).Track(work), 30, 40*time.Millisecond)
	require.Equal(t, []int{paceWindow + 1, 2*paceWindow + 2, 3*paceWindow + 3}, positions)
}
