package policy

import "time"

// Limits on hedging.
const (
	hedgeFraction = 0.04
	hedgeBurst    = 5
	hedgeStart    = 1
	hedgeQuantile = 0.98
	// minHedgeObservations is the number of calls required to estimate the quantile.
	minHedgeObservations = 20
	minHedgeDelay        = 2 * time.Millisecond
)

// QuantileHedger hedges idempotent interactive work once it has run longer than the
// 98th percentile of the recent calls of its class and model. It is safe for concurrent use.
type QuantileHedger struct {
	elapsed windows // durations of recent calls
	budget  *Budget
}

// NewQuantileHedger returns a QuantileHedger whose budget is 4% of the calls that
// may be hedged, with a small burst.
func NewQuantileHedger() *QuantileHedger {
	return &QuantileHedger{budget: NewBudget(hedgeFraction, hedgeBurst, hedgeStart)}
}

// After implements Hedger. Each call counts as one request for the budget.
func (h *QuantileHedger) After(work *Work) (time.Duration, bool) {
	if !work.Idempotent || !work.Interactive {
		return 0, false
	}
	h.budget.RecordRequest()
	value, count := h.elapsed.get(work).Quantile(hedgeQuantile)
	if count < minHedgeObservations {
		return 0, false
	}
	return max(time.Duration(value), minHedgeDelay), true
}

// Acquire implements Hedger.
func (h *QuantileHedger) Acquire() bool { return h.budget.Acquire() }

// Observe implements Hedger.
func (h *QuantileHedger) Observe(work *Work, elapsed time.Duration) {
	h.elapsed.get(work).Observe(elapsed.Nanoseconds())
}
