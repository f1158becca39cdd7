package node

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/logging"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/platform"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// benchNodes is the number of nodes that a benchmark runs in its process: the hubs
// and the nodes that follow them.
const benchNodes = 20

// BenchmarkConfigurationInForce measures the time from the store's acknowledgement
// of a configuration until it is in force on the last node.
func BenchmarkConfigurationInForce(b *testing.B) {
	s, nodes := benchSystem(b)
	version := uint64(1)
	measureSpread(b, func() {
		version++
		s.store.Configure(int(version), "")
	}, func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return uint64(n.node.routes.Load().Version) < version })
	})
}

// BenchmarkDrainingInForce measures the time from the store's acknowledgement of an
// endpoint's draining state until the last node sends no new requests to the
// endpoint, and the same for the return to the ready state.
func BenchmarkDrainingInForce(b *testing.B) {
	s, nodes := benchSystem(b)
	second := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-1", Service: "app", Zone: "z"})
	b.Cleanup(second.Close)
	s.store.Write(second.Key(), second.Record("ready"))
	isDraining := func(n *testNode) bool {
		e, known := n.node.directory.Find("app-1")
		return known && e.Draining
	}
	draining := false
	measureSpread(b, func() {
		draining = !draining
		state := "ready"
		if draining {
			state = "draining"
		}
		s.store.Write(second.Key(), second.Record(state))
	}, func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return isDraining(n) != draining })
	})
}

// Request rates of one of 330 nodes: at the size that the service is designed for,
// 13,000 requests per second, and at twice that rate, where half of the requests
// are refused.
const (
	designRate   = 13_000.0 / 330
	overloadRate = 2 * designRate
)

// BenchmarkEndOfRequest measures the cost of the counters and log lines at the end
// of a request, and the fraction of a core that they take at the design rates.
func BenchmarkEndOfRequest(b *testing.B) {
	lookup := &route.Route{Name: "lookup", Kind: route.Idempotent}
	refused := platform.End{ID: "9c41d07be2a35f68", Matched: lookup, Status: http.StatusServiceUnavailable, Err: call.ErrFull.New("every endpoint is full")}
	answered := platform.End{ID: "9c41d07be2a35f68", Matched: lookup, Status: http.StatusOK, Duration: 30 * time.Millisecond}
	for _, c := range []struct {
		name  string
		level slog.Level
		ends  []platform.End
		rate  float64
	}{
		{"info", slog.LevelInfo, []platform.End{answered}, designRate},
		{"debug", slog.LevelDebug, []platform.End{answered}, designRate},
		{"info, twice capacity", slog.LevelInfo, []platform.End{answered, refused}, overloadRate},
		{"debug, twice capacity", slog.LevelDebug, []platform.End{answered, refused}, overloadRate},
	} {
		b.Run(c.name, func(b *testing.B) {
			writer := logging.NewWriter(io.Discard)
			defer writer.Close()
			// Use a handler without the rate limit on log lines, which would drop most of them here.
			handler := slog.NewTextHandler(writer, &slog.HandlerOptions{Level: c.level})
			n := build(settings.DefaultNode(), slog.New(handler))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				n.Ended(c.ends[i%len(c.ends)])
				i++
			}
			b.ReportMetric(100*c.rate*b.Elapsed().Seconds()/float64(b.N), "%core")
		})
	}
}

func benchSystem(b *testing.B) (*system, []*testNode) {
	s := newSystem(b)
	var nodes []*testNode
	for i := range benchNodes {
		nodes = append(nodes, s.start(fmt.Sprintf("n%02d", i)))
	}
	require.Eventually(b, func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return len(n.node.cluster.Nodes()) < benchNodes-1 })
	}, waitLimit, pollInterval)
	return s, nodes
}

// measureSpread reports the median and the maximum time that a change takes to
// reach all nodes.
func measureSpread(b *testing.B, change func(), reached func() bool) {
	var durations []time.Duration
	for b.Loop() {
		change()
		start := time.Now()
		for !reached() {
			require.Less(b, time.Since(start), waitLimit)
			time.Sleep(100 * time.Microsecond)
		}
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(durations[len(durations)/2]), "p50_ms")
	b.ReportMetric(milliseconds(durations[len(durations)-1]), "max_ms")
}
