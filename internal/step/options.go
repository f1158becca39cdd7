package step

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// Options configure a Service. Owner and Generator are required.
type Options struct {
	Owner     ownership.Owner
	Generator Generator
	// Newest returns the newest weight version known of a model, or zero.
	Newest func(model string) int64
	// Alive reports whether another entry, by ID, is believed to live. A step
	// whose holder is not is taken over before the holder's lease lapses. It must
	// be false for a former process of this entry. Nil waits for the lease.
	Alive  func(id string) bool
	Order  Order
	Logger *slog.Logger
	// Registerer takes the metrics; nil keeps them private.
	Registerer prometheus.Registerer
	// Concurrency is how many samples of one step are generated at once.
	Concurrency int
	// DefaultDeadline is the time within which a step is due that states none.
	DefaultDeadline time.Duration
	// GiveUpAfter is how long after the last finished sample a step that is past
	// its deadline is given up.
	GiveUpAfter time.Duration
	// MaxReplySamples and MaxReplyBytes bound one reply to a pull.
	MaxReplySamples int
	MaxReplyBytes   int
	// MaxReadyBytes bounds the text of one step that waits for its trainer: above
	// it no further samples are started.
	MaxReadyBytes int
	// IdleAfter without a pull, no further samples are started; AbandonAfter,
	// the step is dropped.
	IdleAfter    time.Duration
	AbandonAfter time.Duration
}

// Defaults of Options.
const (
	defaultConcurrency  = 512
	defaultDeadline     = 28 * time.Minute
	defaultGiveUpAfter  = 5 * time.Minute
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
	setDefault(&o.GiveUpAfter, defaultGiveUpAfter)
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
