package policy

import (
	"fmt"
	"testing"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 90, 900, 12000} {
		for _, prefix := range []uint64{0, 77} {
			b.Run(fmt.Sprintf("endpoints=%d/affinity=%v", n, prefix != 0), func(b *testing.B) {
				endpoints, random, c := fleet(n), seeded(1), chooser()
				for _, e := range endpoints {
					e.Running = random.IntN(8)
				}
				work := &Work{ExpectedTokens: 100}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					if prefix != 0 {
						work.Prefix = uint64(i) * 0x9e3779b97f4a7c15
					}
					c.Pick(endpoints, work, testNow, random)
				}
			})
		}
	}
}

func BenchmarkOutliers(b *testing.B) {
	for _, n := range []int{9, 90, 900} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			latencies := equalLatencies(n, 1e6)
			latencies[0].TokenNanos = 1e7
			b.ReportAllocs()
			now := testNow
			var o Outliers
			for range b.N {
				now = now.Add(decideInterval)
				o.Decide(latencies, now)
			}
		})
	}
}

func BenchmarkWindowObserve(b *testing.B) {
	var w Window
	b.ReportAllocs()
	for i := range b.N {
		w.Observe(int64(i%10000) * 1000)
	}
}
