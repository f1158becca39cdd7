package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// cutInterval is the time between two cuts of the waiting watches.
const cutInterval = 20 * time.Millisecond

// TestRemovedEndpointIsDroppedWhileWatchesAreCut guards against requests for an endpoint whose
// record was removed, because cuts of waiting watches count as outages of the store, after which
// endpoints may take their time to return (review/7). Hubs and the nodes that watch them are
// looked at, and a change of the configuration and a loss of the history come in between.
func TestRemovedEndpointIsDroppedWhileWatchesAreCut(t *testing.T) {
	const nodes = minHubs + 2
	s := newSystem(t)
	second := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-1", Service: "app", Zone: "z"})
	t.Cleanup(second.Close)
	s.store.Write(second.Key(), second.Record("ready"))
	for i := range nodes {
		s.start(fmt.Sprintf("n%d", i))
	}
	knows := func(count int) func() bool {
		return func() bool {
			known := 0
			for _, n := range s.nodes {
				if _, found := n.node.directory.Find("app-1"); found {
					known++
				}
			}
			return known == count
		}
	}
	require.Eventually(t, knows(nodes), waitLimit, pollInterval)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(cutInterval):
				s.store.CutWatches()
			}
		}
	}()
	defer func() { close(stop); <-stopped }()
	require.Eventually(t, func() bool { return s.store.CutWatches() > 0 }, waitLimit, pollInterval)

	s.store.DropHistory()
	s.store.Configure(2, platformtest.ExtraRoute)
	s.store.Remove(second.Key())
	require.Eventually(t, knows(0), waitLimit, pollInterval)
	for name, n := range s.nodes {
		require.Eventually(t, func() bool { return n.node.routes.Load().Version == 2 }, waitLimit, pollInterval, name)
		status, _ := s.call(n, http.MethodPost, "/lookup/x", "r-"+name, nil)
		require.Equal(t, http.StatusOK, status)
	}
	require.Zero(t, second.AllRuns(), "the endpoint gets no requests after its removal")
}
