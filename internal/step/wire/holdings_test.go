package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestHoldingsMatchAReferenceSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var holds Holdings
		reference := map[SampleID]bool{}
		for range 60 {
			id := SampleID{Group: rapid.IntRange(0, 2).Draw(t, "group"), Index: rapid.IntRange(0, 9).Draw(t, "index")}
			require.Equal(t, reference[id], holds.Has(id))
			require.Equal(t, !reference[id], holds.Add(id))
			reference[id] = true
			require.Equal(t, len(reference), holds.Len())
		}
		require.True(t, holds.Ordered())
		for i := 1; i < len(holds); i++ {
			separate := holds[i-1].Group < holds[i].Group || holds[i-1].To < holds[i].From
			require.True(t, separate, "ranges are adjacent or overlap: %v", holds)
		}
	})
}

func TestUnorderedHoldingsAreDetected(t *testing.T) {
	require.False(t, Holdings{{Group: 1, To: 2}, {Group: 0, To: 2}}.Ordered())
	require.False(t, Holdings{{Group: 0, To: 2}, {Group: 0, From: 1, To: 3}}.Ordered())
	require.True(t, Holdings{{Group: 0, To: 2}, {Group: 0, From: 2, To: 3}}.Ordered())
}
