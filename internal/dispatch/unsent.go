package dispatch

// maxUnsentCalls is the number of calls of one request that may fail before they are sent, in
// addition to the retries that the policy allows.
const maxUnsentCalls = 8

// unsentCalls counts the calls of one request that could not be sent. They cause no load on
// endpoints, so they do not use the retry budget.
type unsentCalls int

// allow reports whether another call may follow one with this outcome without using the
// retry budget.
func (u *unsentCalls) allow(outcome callOutcome) bool {
	if outcome != outcomeNotSent || *u >= maxUnsentCalls {
		return false
	}
	*u++
	return true
}
