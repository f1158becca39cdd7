package ownership

import (
	"context"
	"fmt"
	"testing"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

// BenchmarkUnitsHeld measures the cost of holding units: the check before each use,
// one renewal of all units, and the store writes per renewal.
func BenchmarkUnitsHeld(b *testing.B) {
	for _, units := range []int{1, 16, 256} {
		ctx, store := context.Background(), memstore.New(nil)
		m := New(store, "entry", Options{}, quiet)
		var tenure Tenure
		for i := range units {
			tenure, _ = m.Acquire(ctx, fmt.Sprintf("unit/%d", i))
		}
		b.Run(fmt.Sprintf("valid/units=%d", units), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				m.Valid(tenure)
			}
		})
		b.Run(fmt.Sprintf("renew/units=%d", units), func(b *testing.B) {
			before := store.Calls().Writes
			for range b.N {
				m.tick(ctx)
			}
			b.ReportMetric(float64(store.Calls().Writes-before)/float64(b.N), "writes/renewal")
		})
	}
}

func BenchmarkBest(b *testing.B) {
	for _, peers := range []int{6, 60, 330} {
		ids := make([]string, peers)
		for i := range ids {
			ids[i] = fmt.Sprintf("entry-%d", i)
		}
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Best("claims/7", ids)
			}
		})
		b.Run(fmt.Sprintf("rank/peers=%d", peers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Rank("claims/7", ids)
			}
		})
	}
}
