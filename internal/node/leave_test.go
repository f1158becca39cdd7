package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// heldRequests starts a node, sends it requests that an endpoint holds until hold is
// closed, and returns a function that waits for their answers and returns the statuses.
func heldRequests(t *testing.T, count int, hold chan struct{}) (*testNode, func() []int) {
	t.Helper()
	s := newSystem(t)
	held := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "held-0", Service: "held", Zone: "z", Hold: hold})
	t.Cleanup(held.Close)
	s.store.Write(held.Key(), held.Record("ready"))
	s.store.Configure(1, platformtest.PatientRoute)
	n := s.start("n1")
	statuses := make([]int, count)
	var callers sync.WaitGroup
	for i := range count {
		callers.Go(func() {
			status, _ := s.call(n, http.MethodPost, "/held/x", fmt.Sprintf("held-%d", i), []byte("b"))
			statuses[i] = status
		})
	}
	for i := range count {
		require.Eventually(t, func() bool { return held.Runs(fmt.Sprintf("held-%d", i)) > 0 }, waitLimit, pollInterval)
	}
	return n, func() []int { callers.Wait(); return statuses }
}

// TestLeavingNodeAnswersRequestsThatDoNotFinish guards against a planned stop that closes
// the connections of requests in flight without an answer.
func TestLeavingNodeAnswersRequestsThatDoNotFinish(t *testing.T) {
	hold := make(chan struct{})
	n, answers := heldRequests(t, 4, hold)
	n.cancel()
	<-n.done
	close(hold) // the process would have exited: what is answered from now on would be lost
	for _, status := range answers() {
		require.Equal(t, http.StatusGatewayTimeout, status, "the request may have run")
	}
}

// TestLeavingNodeWaitsForRequests guards against a planned stop that breaks off requests
// which endpoints answer before the last sixth of the grace period.
func TestLeavingNodeWaitsForRequests(t *testing.T) {
	const lastSixth = 5.0 / 6
	require.Greater(t, finishFraction, lastSixth)
	require.Less(t, leaseFraction, 1.0)
	hold := make(chan struct{})
	n, answers := heldRequests(t, 4, hold)
	n.cancel()
	require.Eventually(t, n.node.draining.Load, waitLimit, pollInterval)
	close(hold)
	for _, status := range answers() {
		require.Equal(t, http.StatusOK, status)
	}
	<-n.done
}
