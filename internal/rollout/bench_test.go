package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// benchEngine is an HTTP engine that completes orders immediately.
type benchEngine struct {
	mu    sync.Mutex
	state engine.WeightState
}

func (e *benchEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var order engine.WeightOrder
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&order)
	}
	switch r.URL.Path {
	case engine.PathStage:
		e.state.Staged = order.Version
	case engine.PathActivate:
		e.state.Active = order.Version
	}
	_ = json.NewEncoder(w).Encode(e.state)
}

// BenchmarkRollout measures the owner's work for one rollout in a failure domain. The
// replicas are HTTP engines that complete orders immediately.
func BenchmarkRollout(b *testing.B) {
	for _, n := range []int{9, 90, 900} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) { benchRollout(b, n) })
	}
}

func benchRollout(b *testing.B, n int) {
	f := newFleet(1, 0, 0)
	replicas := make([]Replica, n)
	for i := range replicas {
		server := httptest.NewServer(&benchEngine{})
		b.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		replicas[i] = Replica{ID: address, Address: address, Domain: "d0", ChecksFence: true}
	}
	transport := engine.NewTransport()
	b.Cleanup(transport.CloseIdleConnections)
	e := newEntry(f, "a")
	options := e.options()
	options.Orders = engine.NewOrderClient(transport)
	options.Replicas = func(string) []Replica { return replicas }
	executor := NewExecutor(options)
	var staging, activation time.Duration
	for range b.N {
		f.accept()
		p := &pass{Executor: executor, unit: &unit{model: "m", domain: "d0", verified: map[string]readBack{}, broken: map[string]bool{}}, version: f.version(), replicas: replicas, ordersCtx: context.Background()}
		p.tenure, _ = e.Acquire(context.Background(), unitOf("m", "d0"))
		staging += timed(b, func() error { return p.stageAll(b.Context()) })
		if err := p.awaitOthers(b.Context()); err != nil {
			b.Fatal(err)
		}
		activation += timed(b, func() error { return p.activateAll(b.Context()) })
		if remaining := executor.remaining(p.unit, p.version, replicas); len(remaining) > 0 {
			b.Fatal(remaining)
		}
	}
	b.ReportMetric(float64(n*b.N)/staging.Seconds(), "staged/s")
	b.ReportMetric(activation.Seconds()/float64(b.N), "s/activation")
}

func timed(b *testing.B, work func() error) time.Duration {
	start := time.Now()
	if err := work(); err != nil {
		b.Fatal(err)
	}
	return time.Since(start)
}

// BenchmarkStartPasses measures one check for units that need a pass, by an entry that
// is the preferred owner of none.
func BenchmarkStartPasses(b *testing.B) {
	for _, n := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			replicas := make([]Replica, n)
			for i := range replicas {
				replicas[i] = Replica{ID: fmt.Sprint(i), Domain: fmt.Sprintf("d%d", i%18)}
			}
			f := newFleet(1, 0, 0)
			options := newEntry(f, "a").options()
			options.Replicas = func(string) []Replica { return replicas }
			options.Best = func(string) bool { return false }
			executor := NewExecutor(options)
			b.ReportAllocs()
			for range b.N {
				executor.startPasses(context.Background())
			}
		})
	}
}

// BenchmarkStoreCalls counts the calls to the key-value service for one rollout over 4,
// 9 and 18 failure domains, each with its own owner.
func BenchmarkStoreCalls(b *testing.B) {
	for _, domains := range []int{4, 9, 18} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) { benchStoreCalls(b, domains) })
	}
}

func benchStoreCalls(b *testing.B, domains int) {
	f := newFleet(domains, 1, 0)
	for _, e := range f.engines {
		e.checksFence = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var views []*memstore.Store
	for d := range domains {
		view := f.store.View()
		views = append(views, view)
		manager := ownership.New(view, fmt.Sprint(d), ownership.Options{}, slog.New(slog.DiscardHandler))
		options := newEntry(f, "a").options()
		options.Store, options.Owner, options.Interval = view, manager, 10*time.Millisecond
		options.Best = func(unit string) bool { return unit == unitOf("m", fmt.Sprintf("d%d", d)) }
		group.Go(func() { _ = manager.Run(ctx) })
		group.Go(func() { _ = NewExecutor(options).Run(ctx) })
	}
	for range b.N {
		f.accept()
		for !f.settled() {
			<-time.After(time.Millisecond)
		}
	}
	cancel()
	group.Wait()
	var writes, reads, watches int64
	for _, view := range views {
		calls := view.Calls()
		writes, reads, watches = writes+calls.Writes, reads+calls.Reads, watches+calls.Watches
	}
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(reads)/float64(b.N), "reads/op")
	b.ReportMetric(float64(watches)/float64(b.N), "watches/op")
}
