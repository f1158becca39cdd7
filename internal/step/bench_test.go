package step

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

const (
	benchGroup    = 16
	benchTokens   = 1024
	bytesPerToken = 4
	benchReply    = 64
)

type noObserver struct{}

func (noObserver) Discarded(int64, bool) {}
func (noObserver) Delivered(int64)       {}

func benchSpec(samples int) wire.Spec {
	spec := wire.Spec{Trainer: "t", Step: 1, Model: "m", Class: "c", WeightVersion: 1, Staleness: 4}
	prompt := strings.Repeat("p", 2048)
	for range samples / benchGroup {
		spec.Groups = append(spec.Groups, wire.Group{Prompt: prompt, Size: benchGroup, MaxTokens: benchTokens})
	}
	return spec
}

func benchStep(b *testing.B, samples int) *Step {
	s, err := New(benchSpec(samples), nil, LongestFirst, noObserver{})
	require.NoError(b, err)
	return s
}

// fill finishes n samples, each with different text.
func fill(s *Step, n int) {
	for i := range n {
		started, _ := s.startNext(func() {})
		text := fmt.Sprint(i) + strings.Repeat("t", benchTokens*bytesPerToken)
		s.finish(started.pos, started.attempt, Generation{Text: text, FinishReason: "stop", Spans: []wire.Span{{WeightVersion: 1, Tokens: benchTokens}}}, time.Time{})
	}
}

// BenchmarkPull measures one pull of 64 samples of 4 KB from a step with half of its
// samples held and half ready.
func BenchmarkPull(b *testing.B) {
	for _, samples := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			s := benchStep(b, samples)
			fill(s, samples)
			holds := wire.Holdings{}
			for g := range samples / benchGroup / 2 {
				holds = append(holds, wire.Range{Group: 2 * g, To: benchGroup})
			}
			b.ReportAllocs()
			for i := range b.N {
				if err := s.Pull(&wire.PullRequest{Holds: holds, Pull: int64(i + 1), WeightVersion: 1}); err != nil {
					b.Fatal(err)
				}
				if _, err := s.Reply(1, replyLimits{samples: benchReply, bytes: 1 << 30}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSample measures the owner's work for one sample without generation and
// delivery: start, 32 pieces, finish.
func BenchmarkSample(b *testing.B) {
	const pieces = 32
	piece := Piece{Text: strings.Repeat("t", benchTokens*bytesPerToken/pieces), Tokens: benchTokens / pieces, WeightVersion: 1}
	for _, samples := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			b.ReportAllocs()
			var s *Step
			for i := range b.N {
				if i%samples == 0 {
					b.StopTimer()
					s = benchStep(b, samples)
					b.StartTimer()
				}
				started, _ := s.startNext(func() {})
				for range pieces {
					s.progress(started.pos, started.attempt, piece, time.Now())
				}
				s.finish(started.pos, started.attempt, Generation{FinishReason: "stop"}, time.Time{})
			}
		})
	}
}

// BenchmarkAdvance measures the owner's work for a new weight version.
func BenchmarkAdvance(b *testing.B) {
	for _, samples := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			s := benchStep(b, samples)
			s.spec.Staleness = 1 << 40
			fill(s, samples)
			for i := range b.N {
				s.Advance(int64(i + 2))
			}
		})
	}
}

// BenchmarkMemory reports the memory per sample while samples are waiting and while
// they are ready with 4 KB of text each.
func BenchmarkMemory(b *testing.B) {
	for _, samples := range []int{1024, 4096, 40960} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			for range b.N {
				before := heap()
				steps := make([]*Step, 0, 10)
				for left := samples; left > 0; left -= 4096 {
					steps = append(steps, benchStep(b, min(left, 4096)))
				}
				waiting := heap()
				for _, s := range steps {
					fill(s, len(s.slots))
				}
				b.ReportMetric(float64(waiting-before)/float64(samples), "B/waiting")
				b.ReportMetric(float64(heap()-before)/float64(samples), "B/ready")
				runtime.KeepAlive(steps)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTakeover measures a new owner's work before the first sample starts:
// decoding the specification and applying the trainer's holdings.
func BenchmarkTakeover(b *testing.B) {
	for _, samples := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			spec := benchSpec(samples)
			var holds wire.Holdings
			for g := range spec.Groups {
				holds = append(holds, wire.Range{Group: g, To: benchGroup / 2})
			}
			body, _ := encode(wire.CreateRequest{Spec: spec, Holds: holds}, nil)
			b.SetBytes(int64(len(body)))
			for range b.N {
				var req wire.CreateRequest
				if err := decode(body, &req); err != nil {
					b.Fatal(err)
				}
				s, err := New(req.Spec, req.Holds, LongestFirst, noObserver{})
				if err != nil {
					b.Fatal(err)
				}
				s.startNext(context.CancelFunc(func() {}))
			}
		})
	}
}
