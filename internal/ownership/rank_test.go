package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRankMovesOnlyTheUnitsOfARemovedPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 12, rapid.ID).Draw(t, "peers")
		removed := rapid.IntRange(0, len(peers)-1).Draw(t, "gone")
		rest := append(append([]string{}, peers[:removed]...), peers[removed+1:]...)
		unit := rapid.String().Draw(t, "unit")
		ranked := Rank(unit, peers)
		require.ElementsMatch(t, peers, ranked)
		require.Equal(t, ranked[0], Best(unit, peers))
		var expected []string
		for _, peer := range ranked {
			if peer != peers[removed] {
				expected = append(expected, peer)
			}
		}
		require.ElementsMatch(t, expected, rest)
		if len(rest) > 0 {
			require.Equal(t, expected, Rank(unit, rest))
		}
	})
}

func TestRankSpreadsUnits(t *testing.T) {
	peers, units := []string{"a", "b", "c", "d"}, 4000
	count := map[string]int{}
	for i := range units {
		count[Best(fmt.Sprintf("unit/%d", i), peers)]++
	}
	for _, peer := range peers {
		require.InDelta(t, units/len(peers), count[peer], float64(units)/20)
	}
}
