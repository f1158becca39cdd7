package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

func laneIDs(l *Lane, endpoints []*endpoint.Endpoint) []string {
	var ids []string
	for _, e := range endpoints {
		if l.Has(e) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

func TestLaneFollowsTheDemand(t *testing.T) {
	endpoints := fleet(9)
	var l Lane
	require.Empty(t, laneIDs(&l, endpoints))
	cases := []struct {
		demand float64
		size   int
	}{{0, 0}, {0.1, 0}, {1, 1}, {5, 2}, {4, 2}, {100, 4}, {1, 1}, {0, 0}}
	for _, c := range cases {
		l.Resize("drafting", endpoints, c.demand)
		require.Len(t, laneIDs(&l, endpoints), c.size, "demand %v", c.demand)
	}
}

func TestEntriesAgreeOnTheLane(t *testing.T) {
	var a, b Lane
	a.Resize("drafting", fleet(9), 5)
	b.Resize("drafting", fleet(9), 5.5)
	require.Equal(t, laneIDs(&a, fleet(9)), laneIDs(&b, fleet(9)))
}

func TestBatchWorkAvoidsTheLaneWhenPossible(t *testing.T) {
	endpoints := fleet(9)
	l := &Lane{}
	l.Resize("drafting", endpoints, 5)
	c := chooser()
	c.Lane = l
	random := seeded(1)
	for range 100 {
		e, ok := c.Pick(endpoints, &Work{ExpectedTokens: 10}, testNow, random)
		require.True(t, ok)
		require.False(t, l.Has(e))
	}
	for _, e := range endpoints {
		e.Leaving = !l.Has(e)
	}
	_, ok := c.Pick(endpoints, &Work{ExpectedTokens: 10}, testNow, random)
	require.True(t, ok)
}
