package node

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// usageSystem is a system whose nodes report usage.
func usageSystem(t *testing.T) (*system, *platformtest.Management) {
	t.Helper()
	management := platformtest.NewManagement()
	t.Cleanup(management.Close)
	s := newSystem(t)
	s.configure = func(config *settings.Node) {
		config.ManagementAddress, config.ManagementRate = management.Address(), 1000
		config.UsageWindow, config.UsageDue, config.HolderChange = 300*time.Millisecond, 1200*time.Millisecond, 600*time.Millisecond
	}
	return s, management
}

// requestOf sends a request of an account through a node.
func (s *system) requestOf(n *testNode, account, id string) {
	s.t.Helper()
	configuration := n.node.Configuration(s.t.Context())
	matched, ok := configuration.Match(platformtest.Host, "/lookup/x")
	require.True(s.t, ok)
	_, err := n.node.Do(s.t.Context(), matched, &call.Request{ID: id, Method: "POST", URI: "/lookup/x", Host: platformtest.Host, Account: account})
	require.NoError(s.t, err)
}

// reportedUsage adds up the reports that the management interface got. It fails if two of one
// window differ.
func reportedUsage(t *testing.T, management *platformtest.Management) (map[string]int64, map[int64]string) {
	t.Helper()
	sum, windows := map[string]int64{}, map[int64]string{}
	for _, applied := range management.Applied() {
		var report struct {
			Window int64            `json:"window_id"`
			Counts map[string]int64 `json:"counts"`
		}
		require.NoError(t, json.Unmarshal([]byte(applied.Body), &report))
		if earlier, repeated := windows[report.Window]; repeated {
			require.Equal(t, earlier, applied.Body)
			continue
		}
		windows[report.Window] = applied.Body
		for account, count := range report.Counts {
			sum[account] += count
		}
	}
	return sum, windows
}

func TestUsageIsReportedOnceOverPlannedStop(t *testing.T) {
	s, management := usageSystem(t)
	nodes := []*testNode{s.start("n1"), s.start("n2"), s.start("n3")}
	const each = 7
	sent := 0
	sendAll := func(to []*testNode) {
		for range each {
			for _, n := range to {
				sent++
				s.requestOf(n, "large", fmt.Sprintf("l-%d", sent))
			}
			s.requestOf(to[0], "", fmt.Sprintf("none-%d", sent))
		}
		s.requestOf(to[0], "small", fmt.Sprintf("s-%d", sent))
	}
	all := func(large, small int64) func() bool {
		return func() bool {
			sum, _ := reportedUsage(t, management)
			return sum["large"] == large && sum["small"] == small && len(sum) == 2
		}
	}
	sendAll(nodes)
	require.Eventually(t, all(3*each, 1), waitLimit, pollInterval)
	sendAll(nodes)
	holder := slices.IndexFunc(nodes, func(n *testNode) bool { return n.node.usage.holds() })
	require.GreaterOrEqual(t, holder, 0)
	nodes[holder].cancel()
	<-nodes[holder].done
	stays := slices.Delete(nodes, holder, holder+1)
	sendAll(stays)
	require.Eventually(t, all(8*each, 3), waitLimit, pollInterval)
	_, windows := reportedUsage(t, management)
	first, last := int64(1<<62), int64(0)
	for w := range windows {
		first, last = min(first, w), max(last, w)
	}
	require.Len(t, windows, int(last-first)+1, "no window may be left out")

	page := httptest.NewRecorder()
	stays[0].node.metricsHandler().ServeHTTP(page, httptest.NewRequest("GET", operator.PathUsage+"?account=large", nil))
	require.Contains(t, page.Body.String(), "newest usage report: window")
	require.Contains(t, page.Body.String(), "large: ")
}

func TestNoUsageWithoutSettings(t *testing.T) {
	s := newSystem(t)
	n := s.start("n1")
	s.requestOf(n, "large", "r-1")
	require.Nil(t, n.node.usage)
	require.False(t, n.node.usage.holds())
}
