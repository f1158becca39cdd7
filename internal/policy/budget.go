package policy

import "sync/atomic"

// unitsPerCall is the fixed-point scale of a Budget: the number of units that one call costs.
const unitsPerCall = 1000

// Budget limits additional calls to a fraction of the arriving requests, with a
// small burst. It is safe for concurrent use.
type Budget struct {
	perRequest int64
	maxBalance int64
	balance    atomic.Int64
}

// NewBudget returns a Budget that allows fraction (0 to 1) additional calls per request.
// It accumulates at most burst calls and starts with start calls.
func NewBudget(fraction float64, burst, start int) *Budget {
	b := &Budget{perRequest: int64(fraction * unitsPerCall), maxBalance: int64(burst) * unitsPerCall}
	b.balance.Store(min(b.maxBalance, int64(start)*unitsPerCall))
	return b
}

// RecordRequest adds the allowance of one request.
func (b *Budget) RecordRequest() {
	for {
		old := b.balance.Load()
		next := min(old+b.perRequest, b.maxBalance)
		if old == next || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Acquire spends one call. It returns false if less than one call is left.
func (b *Budget) Acquire() bool {
	for {
		old := b.balance.Load()
		if old < unitsPerCall {
			return false
		}
		if b.balance.CompareAndSwap(old, old-unitsPerCall) {
			return true
		}
	}
}
