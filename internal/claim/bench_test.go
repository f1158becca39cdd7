package claim

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/claim/claimpb"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

func numberedKey(n uint64) Key {
	sum := KeyOf("", "", fmt.Sprint(n))
	return sum
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkClaimsHeld measures the memory per stored claim and the time of one lookup for
// several numbers of stored claims.
func BenchmarkClaimsHeld(b *testing.B) {
	for _, held := range []int{20_000, 200_000, 2_000_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			before := heapBytes()
			t, now := newTable(DefaultWindow, DefaultAnswersLimit), time.Now()
			for i := range held {
				key := numberedKey(uint64(i))
				stored := &claimpb.Row{Key: key[:], State: uint32(Answered), ClaimedAt: uint32(now.Unix())}
				if err := t.put(stored, now); err != nil {
					b.Fatal(err)
				}
			}
			perClaim := float64(heapBytes()-before) / float64(held)
			key := numberedKey(1)
			b.ResetTimer()
			for i := range b.N {
				binary.BigEndian.PutUint32(key[4:], uint32(i))
				t.get(key, now)
			}
			b.ReportMetric(perClaim, "bytes/claim")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkOwner measures the owner's time per claim and ending, including groups and
// writes, for several numbers of callers.
func BenchmarkOwner(b *testing.B) {
	for _, callers := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			store := memstore.New(nil)
			p, err := openPartition(context.Background(), store, 0, 1, Options{CommitInterval: time.Microsecond}.withDefaults(), quiet, nil)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var loop, calls sync.WaitGroup
			loop.Go(func() { p.run(ctx) })
			var next atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			for range callers {
				calls.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						grant, err := p.claim(ctx, Request{Key: numberedKey(uint64(n)), Claimant: "caller"})
						if err != nil {
							b.Error(err)
							return
						}
						_, _ = p.recordEnding(grant.Key, claimantHash("caller"), Ending{State: Answered})
					}
				})
			}
			calls.Wait()
			b.StopTimer()
			b.ReportMetric(float64(store.Calls().Writes)/float64(b.N), "writes/claim")
			cancel()
			loop.Wait()
		})
	}
}

// BenchmarkTakeOver measures the time in which a new owner loads the window, and the bytes
// per claim in the platform's key-value service.
func BenchmarkTakeOver(b *testing.B) {
	for _, held := range []int{20_000, 200_000, 1_000_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			store := memstore.New(nil)
			bytes := fillLog(b, store, held)
			b.ResetTimer()
			for i := range b.N {
				p, err := openPartition(context.Background(), store, 0, int64(i+2), Options{}.withDefaults(), quiet, nil)
				if err != nil {
					b.Fatal(err)
				}
				if p.count() != held {
					b.Fatalf("%d claims loaded", p.count())
				}
			}
			b.ReportMetric(float64(bytes)/float64(held), "stored-bytes/claim")
			b.ReportMetric(float64(store.Calls().Reads)/float64(b.N), "reads")
		})
	}
}

// rowsPerBenchGroup is about the number of rows that a partition commits every 100 ms at
// peak load.
const rowsPerBenchGroup = 4

// fillLog writes the same segments as an owner and returns their total size in bytes.
func fillLog(b *testing.B, store *memstore.Store, held int) (bytes int) {
	ctx, now := context.Background(), uint32(time.Now().Unix())
	log := &commitLog{store: store, epoch: 1, callTimeout: time.Minute}
	const perSegment = segmentGroups * rowsPerBenchGroup
	index := uint64(0)
	for from := 0; from < held; from += perSegment {
		segment := &claimpb.Segment{Index: index}
		for n := from; n < min(held, from+perSegment); n++ {
			key := numberedKey(uint64(n))
			segment.Rows = append(segment.Rows, &claimpb.Row{Key: key[:], Fingerprint: uint32(n), State: uint32(Answered), ClaimedAt: now})
		}
		bytes += proto.Size(segment)
		if err := log.writeSegment(ctx, segment); err != nil {
			b.Fatal(err)
		}
		index++
	}
	last := &claimpb.Group{Epoch: 1, Sequence: index*segmentGroups - 1, SegmentsTo: index}
	encoded, err := proto.Marshal(last)
	if err != nil {
		b.Fatal(err)
	}
	log.next = last.GetSequence()
	if err := log.write(ctx, encoded); err != nil {
		b.Fatal(err)
	}
	return bytes
}
