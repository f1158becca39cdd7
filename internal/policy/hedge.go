package policy

import "time"

// Limits of hedges.
const (
	hedgeShare    = 0.04
	hedgeBurst    = 5
	hedgeStart    = 1
	hedgeQuantile = 0.98
	// minHedgeSamples is how many calls the quantile needs.
	minHedgeSamples = 20
	minHedgeDelay   = 2 * time.Millisecond
)

// QuantileHedger hedges idempotent interactive work once it has taken longer
// than most calls of its class and model did. Safe for concurrent use.
type QuantileHedger struct {
	took   windows
	budget *Budget
}

// NewQuantileHedger returns a hedger with its budget.
func NewQuantileHedger() *QuantileHedger {
	return &QuantileHedger{budget: NewBudget(hedgeShare, hedgeBurst, hedgeStart)}
}

// After implements Hedger. Each call counts as one request for the budget.
func (h *QuantileHedger) After(work *Work) (time.Duration, bool) {
	if !work.Idempotent || !work.Interactive {
		return 0, false
	}
	h.budget.RecordRequest()
	value, count := h.took.of(work).Quantile(hedgeQuantile)
	if count < minHedgeSamples {
		return 0, false
	}
	return max(time.Duration(value), minHedgeDelay), true
}

// Acquire implements Hedger.
func (h *QuantileHedger) Acquire() bool { return h.budget.Acquire() }

// Observe implements Hedger.
func (h *QuantileHedger) Observe(work *Work, took time.Duration) {
	h.took.of(work).Observe(took.Nanoseconds())
}
