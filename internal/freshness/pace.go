package freshness

import "time"

// Fractions of the limit, as divisors, by which the configuration is followed. A watch of
// the store confirms only the instant at which it was sent, so that the age reaches two
// waits before the next one is answered. After the loss of the way to the store, at least
// three fifths of the limit must remain.
const (
	watchWaitDivisor = 7
	callSlackDivisor = 5
	overdueDivisor   = 5
	overdueParts     = 2
)

// WatchWait returns how long a watch of the store may wait for a change.
func WatchWait(limit time.Duration) time.Duration { return limit / watchWaitDivisor }

// CallSlack returns how long after its wait a watch of the store is abandoned, since its
// answer may have been lost.
func CallSlack(limit time.Duration) time.Duration { return limit / callSlackDivisor }

// Overdue reports whether the last confirmation is so old that the next watch of the store
// must not wait for a change.
func (t *Tracker) Overdue(now Instant, limit time.Duration) bool {
	age, confirmed := t.Age(now)
	return !confirmed || age < 0 || age > limit*overdueParts/overdueDivisor
}
