package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Parameters of the ShortBehindLong workload.
const (
	shortPerSecond = 60.0
	shortSpan      = 6 * time.Second
	// longInFlight is the number of long requests in flight. It exceeds the total
	// number of engine slots.
	longInFlight = 90
	warmUp       = 1500 * time.Millisecond
)

// ShortBehindLong sends short interactive requests to idle engines, and then while long
// requests fill the engines.
func ShortBehindLong(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, shortDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	random := newRandom(seed)
	wait.For(ctx, 3*pollInterval)
	idle := millis(t.drive(ctx, shortWork(random, shortPerSecond, shortSpan/2)))

	longCtx, stop := context.WithCancel(ctx)
	long := t.startBackground(longCtx, random, longInFlight)
	t.drive(ctx, shortWork(random, shortPerSecond, warmUp))
	started := time.Now()
	before := long.tokens()
	busy := millis(t.drive(ctx, shortWork(random, shortPerSecond, shortSpan)))
	tokens := long.tokens() - before
	span := time.Since(started).Seconds()
	stop()
	long.workers.Wait()
	return []Value{
		{"short_behind_long_p99", "ms", quantile(busy, 0.99)},
		{"short_behind_long_p50", "ms", quantile(busy, 0.5)},
		{"short_idle_p99", "ms", quantile(idle, 0.99)},
		{"short_behind_long_over_idle", "x", quantile(busy, 0.99) / quantile(idle, 0.99)},
		{"long_tokens", "1/s", float64(tokens) / span},
	}, nil
}

// shortWork draws the interactive requests of a time span.
func shortWork(random *rand.Rand, perSecond float64, span time.Duration) []arrival {
	return arrivals(random, perSecond, span, func(number int) Request {
		return Request{Class: classLookup, Prompt: prompt(random.IntN(4), number, shortLength(random)), MaxTokens: shortTokens * 2}
	})
}

// background is a number of long requests that are continuously in flight.
type background struct {
	workers   sync.WaitGroup
	mu        sync.Mutex
	generated int // number of tokens
}

func (b *background) add(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.generated += tokens
}

func (b *background) tokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.generated
}

// startBackground starts workers that keep n samples in flight until ctx ends.
func (t *Testbed) startBackground(ctx context.Context, random *rand.Rand, n int) *background {
	b := &background{}
	for i := range n {
		workerRandom := newRandom(random.Uint64())
		b.workers.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				reply := t.complete(ctx, t.pickEntry(), Request{
					Class:     classTraining,
					Prompt:    prompt(100+i%9, number*n+i, 2*sampleLength(workerRandom)),
					MaxTokens: 2 * maxTokens,
					AllowLate: true,
				})
				if reply.Err == nil {
					b.add(reply.Answer.Tokens)
				}
			}
		})
	}
	return b
}
