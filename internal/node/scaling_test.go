package node

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestEndpointsAreOrderedForOpenSteps lets a submission wait without endpoints: its node
// orders them, another node shows what is wanted, and the submission becomes whole when they
// come.
func TestEndpointsAreOrderedForOpenSteps(t *testing.T) {
	s := newSystem(t)
	management := platformtest.NewManagement()
	t.Cleanup(management.Close)
	s.configure = func(config *settings.Node) {
		config.ManagementAddress, config.ManagementRate, config.HolderChange = management.Address(), 100, 300*time.Millisecond
	}
	s.store.ConfigureScaling(2)
	for _, e := range s.engines {
		s.store.Write(e.Key(), e.Record("draining"))
	}
	first, second := s.start("n1"), s.start("n2")
	s.submit(first, "a", 24)
	require.Eventually(t, func() bool { return len(management.Applied()) >= 2 }, waitLimit, pollInterval)
	for _, call := range management.Applied() {
		require.Equal(t, "/scale", call.Path)
		require.Contains(t, call.Body, `"service":"lm"`)
	}
	for _, n := range []*testNode{first, second} {
		require.Eventually(t, func() bool {
			page := httptest.NewRecorder()
			n.node.serveScaling(page, httptest.NewRequest("GET", pathScaling, nil))
			return strings.Contains(page.Body.String(), "lm: 3/3/0") && strings.Contains(page.Body.String(), "2 cannot be missed")
		}, waitLimit, pollInterval)
	}
	for _, e := range s.engines {
		s.store.Write(e.Key(), e.Record("ready"))
	}
	s.requireComplete(s.results(first, "a", 24), "a", 24)
}

// TestNothingIsOrderedWithoutBounds checks that a deployment without bounds, or without a
// management interface, is served as if there were no orders.
func TestNothingIsOrderedWithoutBounds(t *testing.T) {
	s := newSystem(t)
	management := platformtest.NewManagement()
	t.Cleanup(management.Close)
	s.configure = func(config *settings.Node) {
		config.ManagementAddress, config.ManagementRate, config.HolderChange = management.Address(), 100, 300*time.Millisecond
	}
	n := s.start("n1")
	s.submit(n, "a", 8)
	s.requireComplete(s.results(n, "a", 8), "a", 8)
	require.Empty(t, management.Applied())
	require.Empty(t, encodeScaling(n.node))
}

// TestScalingPage checks the page of the endpoints wanted, ordered and there.
func TestScalingPage(t *testing.T) {
	text := scalingText([]*nodepb.ScalingGroup{
		{Service: "lm", FailureDomain: "z", Reclaimable: true, Wanted: 2, Ordered: 2, There: 1, Refused: true, Urgent: 4, Reason: "steps due"},
		{Service: "lm", FailureDomain: "z", Wanted: 3, Ordered: 3, There: 3, Draining: 1, Urgent: 4, Reason: "steps due"},
	}, time.Unix(1_800_000_000, 0))
	require.Equal(t, "08:00:00 UTC, wanted/ordered/there\nlm: 5/5/4\n  steps due, 4 cannot be missed\n  z ordinary 3/3/3 1 leave\n  z reclaimable 2/2/1 REFUSED\n", text)
	require.Contains(t, scalingText(nil, time.Now()), "no service's endpoints are ordered")
}
