package ownership

import "time"

// Defaults of Options.
const (
	DefaultTTL = 6 * time.Second
	// marginShare is the share of the TTL that is kept as margin, as a divisor.
	marginShare = 6
	// renewalsPerTTL is how often a lease is renewed within its TTL.
	renewalsPerTTL = 3
	// retriesPerRenewal is how much sooner a failed renewal is tried again.
	retriesPerRenewal = 4
)

// Options of a Manager. The zero value takes the defaults.
type Options struct {
	// TTL is how long the lease outlives its last renewal.
	TTL time.Duration
	// Margin is how long before that the holder stops believing in it. It
	// covers the difference in rate between two clocks.
	Margin time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Margin <= 0 {
		o.Margin = o.TTL / marginShare
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func (o Options) renewEvery() time.Duration {
	return o.TTL / renewalsPerTTL
}
