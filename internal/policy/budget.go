package policy

import "sync/atomic"

// budgetUnit is how many parts one call is counted in.
const budgetUnit = 1000

// Budget allows further calls as a share of the requests that arrive, with a
// small burst. It is safe for concurrent use.
type Budget struct {
	perArrival int64
	most       int64
	parts      atomic.Int64
}

// NewBudget allows share (0 to 1) further calls per request; at most burst of
// them may be saved up, and it starts with start of them.
func NewBudget(share float64, burst, start int) *Budget {
	b := &Budget{perArrival: int64(share * budgetUnit), most: int64(burst) * budgetUnit}
	b.parts.Store(min(b.most, int64(start)*budgetUnit))
	return b
}

// RecordRequest adds the share of one request.
func (b *Budget) RecordRequest() {
	for {
		old := b.parts.Load()
		next := min(old+b.perArrival, b.most)
		if old == next || b.parts.CompareAndSwap(old, next) {
			return
		}
	}
}

// Acquire spends one call; it reports false when less than one is left.
func (b *Budget) Acquire() bool {
	for {
		old := b.parts.Load()
		if old < budgetUnit {
			return false
		}
		if b.parts.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}
