package report

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// BenchmarkObserve measures the recording of one request.
func BenchmarkObserve(b *testing.B) {
	r := NewRecorder(nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Observe(Observation{Class: "lookups", Outcome: request.Answered, Took: time.Duration(i%5000) * time.Millisecond, InTime: true})
	}
}

// BenchmarkBuild measures a report of six classes over the digests of all entries.
func BenchmarkBuild(b *testing.B) {
	for _, entries := range []int{6, 50, 330} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			snapshot := testSnapshot()
			snapshot.Peers = nil
			for i := range entries {
				snapshot.Peers = append(snapshot.Peers, control.Peer{ID: fmt.Sprint("entry", i)})
			}
			var allDigests []exchange.Digest
			for range 6 {
				allDigests = append(allDigests, digests(entries, lookups(900))...)
			}
			for b.Loop() {
				_ = Build(noon, snapshot, allDigests).Text()
			}
		})
	}
}

// BenchmarkRecorderMemory measures the bytes in use for each class with work.
func BenchmarkRecorderMemory(b *testing.B) {
	for _, classes := range []int{4, 16, class.MaxClasses} {
		b.Run(fmt.Sprint("classes=", classes), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				now := noon
				r := NewRecorder(func() time.Time { return now })
				for range slots {
					for i := range classes {
						r.Observe(Observation{Class: fmt.Sprint(i), Outcome: request.Answered, Took: time.Second})
					}
					now = now.Add(slotLength)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(classes), "B/class")
				runtime.KeepAlive(r)
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
