package dispatch

import (
	"context"
	"fmt"
	"testing"

	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// BenchmarkComplete measures one completion for several numbers of pieces, including the
// fake engine and the loopback connection.
func BenchmarkComplete(b *testing.B) {
	for _, pieces := range []int{16, 128, 1024} {
		b.Run(fmt.Sprint("pieces=", pieces), func(b *testing.B) {
			d, cleanup := newDispatcher(&fleet{}, generousPolicy(), &observer{})
			defer cleanup()
			for b.Loop() {
				completion := newCompletion(true)
				completion.Request.MaxTokens = pieces
				completion.OnPiece = func(engine.CompletionChoice) error { return nil }
				if _, _, err := d.Complete(context.Background(), completion); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(pieces), "ns/piece")
		})
	}
}
