package control

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// fleetShape is the size of a fleet: its numbers of entries and endpoints.
type fleetShape struct {
	entries, endpoints int
}

var benchShapes = []fleetShape{{6, 13}, {50, 1800}, {330, 12000}}

const (
	benchDomains = 18
	benchModels  = 6
)

func benchManager(shape fleetShape) *Manager {
	m := New(Options{ID: "entry-000", Address: "10.0.0.0:7100", FailureDomain: "domain-0", Snapshots: &Snapshots{}}, slog.New(slog.DiscardHandler), nil)
	m.call = func(context.Context, exchange.Member) {}
	now := time.Now()
	news := &peerpb.News{From: "entry-001"}
	for i := 1; i < shape.entries; i++ {
		news.Peers = append(news.Peers, &peerpb.PeerSeen{Id: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), FailureDomain: fmt.Sprint("domain-", i%benchDomains), Incarnation: 1, Heartbeat: 1})
	}
	m.mergeNews(context.Background(), now, news)
	listResult{instances: benchInstances(shape.endpoints)}.apply(context.Background(), m, now)
	m.publish(now)
	return m
}

func benchInstances(count int) []keyvalue.Instance {
	instances := make([]keyvalue.Instance, count)
	for i := range instances {
		id := fmt.Sprintf("replica-%05d", i)
		instances[i] = keyvalue.Instance{ID: id, Kind: keyvalue.KindEngine, Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), FailureDomain: fmt.Sprint("domain-", i%benchDomains), Region: "greece", Serves: fmt.Sprint("model-", i%benchModels)}
	}
	return instances
}

func eachShape(b *testing.B, run func(b *testing.B, shape fleetShape, m *Manager)) {
	for _, shape := range benchShapes {
		b.Run(fmt.Sprintf("entries=%d/endpoints=%d", shape.entries, shape.endpoints), func(b *testing.B) {
			m := benchManager(shape)
			b.ReportAllocs()
			run(b, shape, m)
			b.ReportMetric(float64(len(*m.followed.Load())), "followed")
		})
	}
}

// BenchmarkLoadReport measures applying one load report.
func BenchmarkLoadReport(b *testing.B) {
	eachShape(b, func(b *testing.B, _ fleetShape, m *Manager) {
		targets := *m.followed.Load()
		for i := 0; b.Loop(); i++ {
			loadResult{target: targets[i%len(targets)], report: engine.LoadReport{Running: i}}.apply(b.Context(), m, time.Now())
		}
	})
}

// BenchmarkPublish measures publishing a snapshot after a load report.
func BenchmarkPublish(b *testing.B) {
	eachShape(b, func(b *testing.B, _ fleetShape, m *Manager) {
		for b.Loop() {
			m.markEndpoints(false)
			m.publish(time.Now())
		}
	})
}

// BenchmarkList measures applying the whole list without a change.
func BenchmarkList(b *testing.B) {
	eachShape(b, func(b *testing.B, shape fleetShape, m *Manager) {
		in := listResult{instances: benchInstances(shape.endpoints)}
		for b.Loop() {
			in.apply(b.Context(), m, time.Now())
		}
	})
}

// BenchmarkFollow measures choosing the followed endpoints, which happens after each
// change of the live entries or the list.
func BenchmarkFollow(b *testing.B) {
	eachShape(b, func(b *testing.B, _ fleetShape, m *Manager) {
		for b.Loop() {
			m.chooseFollowed()
		}
	})
}

// BenchmarkNews measures the merge of one peer's news.
func BenchmarkNews(b *testing.B) {
	eachShape(b, func(b *testing.B, _ fleetShape, m *Manager) {
		news := &peerpb.News{From: "entry-001", Peers: []*peerpb.PeerSeen{{Id: "entry-001", Address: "a", Incarnation: 1}}}
		for i := int64(1); b.Loop(); i++ {
			news.Peers[0].Heartbeat = i
			m.mergeNews(b.Context(), time.Now(), news)
		}
	})
}

// BenchmarkMemory reports the heap bytes per known endpoint.
func BenchmarkMemory(b *testing.B) {
	for _, shape := range benchShapes {
		b.Run(fmt.Sprintf("entries=%d/endpoints=%d", shape.entries, shape.endpoints), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				m := benchManager(shape)
				used := heapBytes() - before
				b.ReportMetric(float64(used)/float64(shape.endpoints), "B/endpoint")
				b.ReportMetric(float64(used)/1e6, "MB")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
