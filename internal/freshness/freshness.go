// Package freshness determines whether this process can be sure that the configuration it
// has in force is the newest one, or was until so recently that a withdrawn key may still be
// accepted. It makes no calls; its times are instants of a clock that goes on while the
// instance is suspended.
package freshness

import (
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/boottime"
)

// Instant is an instant of this instance's boot-time clock, in nanoseconds since the
// instance was started. Instants of different instances cannot be compared.
type Instant int64

// None is the instant of something that has never happened. It is before all others.
const None Instant = 0

// Now returns the current instant. Unlike time.Now, which stands still or jumps, it
// includes the time for which the instance was suspended. It returns None, which makes
// nothing certain, if the clock cannot be read.
func Now() Instant {
	now, ok := boottime.Read()
	if !ok {
		return None
	}
	return Instant(now)
}

// Since returns the time from earlier to i.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// before returns the instant that is earlier than i by d, or None if it is not after the
// start of the instance.
func (i Instant) before(d time.Duration) Instant {
	if d < 0 || time.Duration(i) <= d {
		return None
	}
	return i - Instant(d)
}

// Tracker tracks up to which instant all changes of the configuration are known and in
// force. The zero value is unconfirmed. It is safe for concurrent use.
type Tracker struct {
	confirmed atomic.Int64
}

// Confirmed records that all changes that the store accepted before an instant are in
// force. An earlier instant than the last one has no effect.
func (t *Tracker) Confirmed(at Instant) {
	for {
		last := t.confirmed.Load()
		if int64(at) <= last || t.confirmed.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// Last returns the last confirmed instant, or None.
func (t *Tracker) Last() Instant { return Instant(t.confirmed.Load()) }

// Age returns how long ago the last confirmed instant is, or false if there is none.
func (t *Tracker) Age(now Instant) (time.Duration, bool) {
	last := t.Last()
	return now.Since(last), last != None
}

// Certain reports whether no change of the configuration that is older than limit can be
// missing. A negative age means that the clock was set back, so nothing is certain.
func (t *Tracker) Certain(now Instant, limit time.Duration) bool {
	age, confirmed := t.Age(now)
	return confirmed && age >= 0 && age < limit-Margin(limit)
}

// Margins for the differences of clock rates between this instance and others, and for the
// granularity of their clocks.
const (
	rateMarginDivisor = 50
	granularity       = 20 * time.Millisecond
)

// Margin returns by how much earlier than limit certainty ends.
func Margin(limit time.Duration) time.Duration { return limit/rateMarginDivisor + granularity }
