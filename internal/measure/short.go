package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Sizes of the work in ShortBehindLong.
const (
	shortPerSecond = 60.0
	shortSpan      = 6 * time.Second
	// longInFlight is more than the engines have slots for.
	longInFlight = 90
	warmUp       = 1500 * time.Millisecond
)

// ShortBehindLong sends short interactive work to idle engines, and then while
// long work fills them.
func ShortBehindLong(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	w, err := NewWorld(arm, vanersborgDelay, classes)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	random := newRandom(seed)
	wait.For(ctx, 3*pollInterval)
	idle := millis(w.drive(ctx, shortWork(random, shortPerSecond, shortSpan/2)))

	longCtx, stop := context.WithCancel(ctx)
	long := w.fill(longCtx, random, longInFlight)
	w.drive(ctx, shortWork(random, shortPerSecond, warmUp))
	started := time.Now()
	before := long.tokens()
	busy := millis(w.drive(ctx, shortWork(random, shortPerSecond, shortSpan)))
	tokens := long.tokens() - before
	span := time.Since(started).Seconds()
	stop()
	long.ended.Wait()
	return []Value{
		{"short_behind_long_p99", "ms", quantile(busy, 0.99)},
		{"short_behind_long_p50", "ms", quantile(busy, 0.5)},
		{"short_idle_p99", "ms", quantile(idle, 0.99)},
		{"short_behind_long_over_idle", "x", quantile(busy, 0.99) / quantile(idle, 0.99)},
		{"long_tokens", "1/s", float64(tokens) / span},
	}, nil
}

// shortWork draws interactive requests.
func shortWork(random *rand.Rand, perSecond float64, span time.Duration) []arrival {
	return arrivals(random, perSecond, span, func(number int) Ask {
		return Ask{Class: classLookup, Prompt: prompt(random.IntN(4), number, shortLength(random)), MaxTokens: shortTokens * 2}
	})
}

// background is long work that is always in flight.
type background struct {
	ended sync.WaitGroup
	mu    sync.Mutex
	done  int // tokens
}

func (b *background) add(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done += tokens
}

func (b *background) tokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// fill keeps n samples in flight until ctx ends.
func (w *World) fill(ctx context.Context, random *rand.Rand, n int) *background {
	b := &background{}
	for i := range n {
		own := newRandom(random.Uint64())
		b.ended.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				reply := w.ask(ctx, w.balance(), Ask{
					Class:     classTraining,
					Prompt:    prompt(100+i%9, number*n+i, 2*heavyLength(own)),
					MaxTokens: 2 * maxTokens,
					Patient:   true,
				})
				if reply.Err == nil {
					b.add(reply.Answer.Tokens)
				}
			}
		})
	}
	return b
}
