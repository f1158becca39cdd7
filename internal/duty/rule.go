package duty

import "time"

// validityDivisor divides the shortest time between the calls of two holders to give the time
// for which a confirmation permits calls. A longer time saves calls to the metadata store, a
// shorter one lets the next holder begin earlier.
const validityDivisor = 3

// minCallTime is the shortest time that a call is given. With less of a confirmation left,
// the ownership is confirmed again first.
const minCallTime = 300 * time.Millisecond

// rule determines when a holder may call. All times are readings of the node's own clock,
// which counts suspensions.
//
// A confirmation shows that at some time after it was sent no later holder existed; the calls
// that rely on it end within validity after it was sent. A later holder acquires the duty
// after that time and waits for holderChange, which is longer than validity. So no call of an
// earlier holder follows one of a later holder, however the clocks of the nodes are set. Nor
// does a holder call, lose the duty, regain it and call again within holderChange with a call
// of another holder between: that one has waited too, before its own confirmation expired, so
// that two waits less twice the validity separate the two calls.
type rule struct {
	holderChange time.Duration
}

// validity is how long after it was sent a confirmation permits calls.
func (r rule) validity() time.Duration { return r.holderChange / validityDivisor }

// firstCall returns when a holder that acquired the duty at the given time may begin.
func (r rule) firstCall(acquired time.Duration) time.Duration {
	return acquired + r.holderChange
}

// deadline returns when a call must have ended that relies on a confirmation sent at the
// given time.
func (r rule) deadline(confirmed time.Duration) time.Duration { return confirmed + r.validity() }

// fresh reports whether a confirmation leaves enough time for a call.
func (r rule) fresh(confirmed, now time.Duration) bool {
	return now+min(minCallTime, r.validity()/2) <= r.deadline(confirmed)
}
