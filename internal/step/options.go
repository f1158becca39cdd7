package step

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// Options configures a Service. Owner and Generator are required.
type Options struct {
	Owner     ownership.Owner
	Generator Generator
	// Newest returns the newest known weight version of a model, or zero.
	Newest func(model string) int64
	// Alive reports whether the entry with this ID is considered alive. A step whose
	// holder is not alive is taken over before the holder's lease expires. Alive must
	// return false for an earlier process of this entry. If nil, every holder is
	// considered alive and the step is taken over only after the lease expires.
	Alive  func(id string) bool
	Order  Order
	Logger *slog.Logger
	// Registerer is where the metrics are registered; if nil, they are not exported.
	Registerer prometheus.Registerer
	// Concurrency is the maximum number of samples of one step that are generated at
	// the same time.
	Concurrency int
	// DefaultDeadline is the time limit of a step whose specification has none.
	DefaultDeadline time.Duration
	// StallTimeout is the time without a finished sample after which a step that is
	// past its deadline fails.
	StallTimeout time.Duration
	// MaxReplySamples and MaxReplyBytes bound one reply to a pull; MaxReplyBytes
	// counts sample text only.
	MaxReplySamples int
	MaxReplyBytes   int
	// MaxReadyBytes bounds the text of one step that is ready for delivery. While the
	// text exceeds it, no further samples are started.
	MaxReadyBytes int
	// IdleAfter is the time without a pull after which no further samples are
	// started. AbandonAfter is the time without a pull after which the step is
	// dropped.
	IdleAfter    time.Duration
	AbandonAfter time.Duration
}

// Default values of Options.
const (
	defaultConcurrency  = 512
	defaultDeadline     = 28 * time.Minute
	defaultStallTimeout = 5 * time.Minute
	defaultReplySamples = 512
	defaultReplyBytes   = 8 << 20
	defaultReadyBytes   = 64 << 20
	defaultIdleAfter    = 2 * time.Minute
	defaultAbandonAfter = 15 * time.Minute
)

func (o Options) withDefaults() Options {
	if o.Newest == nil {
		o.Newest = func(string) int64 { return 0 }
	}
	if o.Alive == nil {
		o.Alive = func(string) bool { return true }
	}
	if o.Order == nil {
		o.Order = LongestFirst
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.Concurrency, defaultConcurrency)
	setDefault(&o.DefaultDeadline, defaultDeadline)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.MaxReplySamples, defaultReplySamples)
	setDefault(&o.MaxReplyBytes, defaultReplyBytes)
	setDefault(&o.MaxReadyBytes, defaultReadyBytes)
	setDefault(&o.IdleAfter, defaultIdleAfter)
	setDefault(&o.AbandonAfter, defaultAbandonAfter)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
