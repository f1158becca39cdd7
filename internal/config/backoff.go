package config

import (
	"context"
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	defaultBackoffMin = 50 * time.Millisecond
	defaultBackoffMax = 2 * time.Second
	defaultWatchWait  = 20 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.BackoffMin <= 0 {
		o.BackoffMin = defaultBackoffMin
	}
	if o.BackoffMax < o.BackoffMin {
		o.BackoffMax = max(o.BackoffMin, defaultBackoffMax)
	}
	if o.WatchWait <= 0 {
		o.WatchWait = defaultWatchWait
	}
	return o
}

func (o Options) backoff() *backoff {
	return &backoff{min: o.BackoffMin, max: o.BackoffMax}
}

// backoff is an exponential backoff with jitter: each pause is between half of
// the current delay and the whole of it.
type backoff struct {
	min, max, next time.Duration
}

func (b *backoff) reset() {
	b.next = 0
}

// sleep waits for the next pause and returns false if the context ends first.
func (b *backoff) sleep(ctx context.Context) bool {
	b.next = min(max(b.next*2, b.min), b.max)
	timer := time.NewTimer(b.next/2 + rand.N(b.next/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
