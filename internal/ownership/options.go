package ownership

import "time"

// Defaults of Options.
const (
	DefaultTTL = 6 * time.Second
	// marginDivisor sets the default margin: the TTL divided by marginDivisor.
	marginDivisor = 6
	// renewalsPerTTL is the number of renewals per TTL.
	renewalsPerTTL = 3
	// retriesPerRenewal divides the renewal interval after a failed renewal, so that
	// the retry follows sooner.
	retriesPerRenewal = 4
)

// Options configures a Manager. Zero values select the defaults.
type Options struct {
	// TTL is the time from the last renewal until the lease expires.
	TTL time.Duration
	// Margin is how long before the expiry the holder stops treating the lease as
	// valid. It covers the difference in rate between two clocks.
	Margin time.Duration
	// Now returns the time of a monotonic clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Margin <= 0 {
		o.Margin = o.TTL / marginDivisor
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func (o Options) renewInterval() time.Duration {
	return o.TTL / renewalsPerTTL
}
