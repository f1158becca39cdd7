package node

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
)

// TestNodesAgreeWhoCountsBrokenRuns checks that the order of the known nodes does not matter, and
// that the requests are spread.
func TestNodesAgreeWhoCountsBrokenRuns(t *testing.T) {
	nodes := []cluster.Node{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	reversed := slices.Clone(nodes)
	slices.Reverse(reversed)
	counters := map[string]int{}
	for fingerprint := range uint64(300) {
		counter := counterOf(fingerprint, nodes)
		require.Equal(t, counter, counterOf(fingerprint, reversed))
		counters[counter.Name]++
	}
	require.Len(t, counters, len(nodes))
}
