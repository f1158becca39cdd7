package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestFewCallsDuringStoreOutage bounds the number of calls to a store that is down.
// Failed calls are charged like others, so nodes call the store rarely during an
// outage and do not relay calls through each other. After the outage all nodes
// follow the hubs again.
func TestFewCallsDuringStoreOutage(t *testing.T) {
	const (
		count  = 8
		outage = 2 * time.Second
		// concurrentCalls is the number of calls that a node may have in flight
		// when the store goes down: three watches and the lease. failuresPerCall is
		// how often each of them may fail until the node detects the outage.
		concurrentCalls = 4
		failuresPerCall = 2
		probeInterval   = 500 * time.Millisecond
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
	require.Eventually(t, func() bool { return followers() == count-minHubs }, waitLimit, pollInterval)

	callsBefore, outageStart := s.store.Calls(), time.Now()
	s.store.SetFaults(memory.Faults{Down: true})
	<-time.After(outage)
	calls := s.store.Calls() - callsBefore
	probes := int(time.Since(outageStart)/probeInterval) + 1
	require.LessOrEqual(t, calls, count*(concurrentCalls*failuresPerCall+probes))

	s.store.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool { return followers() == count-minHubs }, waitLimit, pollInterval)
	s.store.Configure(2, platformtest.ExtraRoute)
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.node.routes.Load().Version == 2 }, waitLimit, pollInterval)
	}
}
