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

// benchNodes is how many nodes a benchmark runs in its process: the hubs and
// nodes that follow them.
const benchNodes = 20

// BenchmarkConfigurationInForce measures the time from the store's
// acknowledgement of a configuration until the last node decides by it.
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

// BenchmarkDrainingInForce measures the time from the acknowledged report that
// an endpoint drains until the last node gives it no new request, and back.
func BenchmarkDrainingInForce(b *testing.B) {
	s, nodes := benchSystem(b)
	second := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-1", Service: "app", Zone: "z"})
	b.Cleanup(second.Close)
	s.store.Write(second.Key(), second.Record("ready"))
	drains := func(n *testNode) bool {
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
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return drains(n) != draining })
	})
}

// Rates of one node of 330 at the size to design for, and at twice its capacity:
// 13,000 requests a second, and twice as many of which half are refused.
const (
	designRate   = 13_000.0 / 330
	overloadRate = 2 * designRate
)

// BenchmarkEndOfRequest measures what the end of a request costs in counters and
// log lines, and the share of a core that it takes at the design's rates.
func BenchmarkEndOfRequest(b *testing.B) {
	lookup := &route.Route{Name: "lookup", Kind: route.Idempotent}
	refused := platform.End{ID: "9c41d07be2a35f68", Matched: lookup, Status: http.StatusServiceUnavailable, Err: call.ErrFull.New("every endpoint is full")}
	answered := platform.End{ID: "9c41d07be2a35f68", Matched: lookup, Status: http.StatusOK, Took: 30 * time.Millisecond}
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
			// Without the lines' budget, which would leave most out at this speed.
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
	}, patience, pause)
	return s, nodes
}

// measureSpread reports the median and the longest time of a change to reach
// all nodes.
func measureSpread(b *testing.B, change func(), reached func() bool) {
	var took []time.Duration
	for b.Loop() {
		change()
		began := time.Now()
		for !reached() {
			require.Less(b, time.Since(began), patience)
			time.Sleep(100 * time.Microsecond)
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(took[len(took)/2]), "p50_ms")
	b.ReportMetric(milliseconds(took[len(took)-1]), "max_ms")
}
