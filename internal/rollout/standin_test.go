package rollout

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
)

// TestRolloutOnStandInEngines rolls out a version over HTTP to engines that fail swaps
// partway and lose replies.
func TestRolloutOnStandInEngines(t *testing.T) {
	var servers []*standin.Server
	var replicas []Replica
	for i := range 4 {
		server, err := standin.New(standin.Options{Model: "m", Version: 1, ChecksFence: i%2 == 0, StageTime: time.Millisecond, ActivateTime: time.Millisecond})
		require.NoError(t, err)
		defer server.Close()
		front := httptest.NewServer(server.Handler())
		defer front.Close()
		address := strings.TrimPrefix(front.URL, "http://")
		servers = append(servers, server)
		replicas = append(replicas, Replica{ID: address, Address: address, Domain: "d0", ChecksFence: i%2 == 0})
	}
	servers[0].SetFault(standin.Fault{FailActivations: 1})
	servers[1].SetFault(standin.Fault{LoseReplies: 2})

	f := newFleet(1, 0, 0)
	for _, r := range replicas {
		f.engines[r.ID] = &fakeEngine{} // SetUnready reads it
	}
	transport := engine.NewTransport()
	defer transport.CloseIdleConnections()
	options := newEntry(f, "a").options()
	options.Orders = engine.NewOrderClient(transport)
	options.Replicas = func(string) []Replica { return replicas }
	options.Interval, options.ActivateOrder, options.ActivateTimeout = 20*time.Millisecond, 100*time.Millisecond, time.Second
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- NewExecutor(options).Run(ctx) }()
	f.accept()
	require.Eventually(t, func() bool {
		for _, server := range servers {
			if state := server.Weights(); state.Active != 2 || state.Broken {
				return false
			}
		}
		return true
	}, 30*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}
