package dispatch

// maxUnsent is how many calls of one request may fail unsent beside the retries
// that the policy allows.
const maxUnsent = 8

// unsent counts the calls of one request that could not even be sent. They cost
// endpoints nothing, so they need no retry of the budget.
type unsent int

// allow reports whether another call may be made after one with this verdict
// without asking the policy.
func (u *unsent) allow(v verdict) bool {
	if v != verdictNotSent || *u >= maxUnsent {
		return false
	}
	*u++
	return true
}
