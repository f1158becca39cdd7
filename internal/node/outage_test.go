package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestOutageIsNotHammered: calls to a store that is away are priced like others,
// so the nodes ask it seldom, and none of them through another. When it is back,
// all follow the hubs again.
func TestOutageIsNotHammered(t *testing.T) {
	const (
		count = 8
		lasts = 2 * time.Second
		// callsAtOnce are the calls of a node that may be under way when the store
		// goes: three watches and the lease. failing is how often each may fail
		// until the node knows.
		callsAtOnce = 4
		failing     = 2
		probeEvery  = 500 * time.Millisecond
	)
	s := newSystem(t)
	for i := range count {
		s.start(fmt.Sprintf("n%d", i))
	}
	followers := func() int {
		n := 0
		for _, node := range s.nodes {
			if _, follows := node.node.hubs.choose(); follows {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return followers() == count-leastHubs }, patience, pause)

	before, began := s.store.Calls(), time.Now()
	s.store.SetFaults(memory.Faults{Down: true})
	<-time.After(lasts)
	calls := s.store.Calls() - before
	probes := int(time.Since(began)/probeEvery) + 1
	require.LessOrEqual(t, calls, count*(callsAtOnce*failing+probes))

	s.store.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool { return followers() == count-leastHubs }, patience, pause)
	s.store.Configure(2, platformtest.ExtraRoute)
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.node.routes.Load().Version == 2 }, patience, pause)
	}
}
