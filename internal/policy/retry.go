package policy

// Limits of retries.
const (
	// retryShare keeps the calls per request under 1.1.
	retryShare = 0.06
	retryBurst = 10
	retryStart = 3
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

// BudgetRetrier allows retries as a share of requests. Safe for concurrent use.
type BudgetRetrier struct {
	budget *Budget
}

// NewBudgetRetrier returns a retrier with its budget.
func NewBudgetRetrier() *BudgetRetrier {
	return &BudgetRetrier{budget: NewBudget(retryShare, retryBurst, retryStart)}
}

// RecordRequest implements Retrier.
func (r *BudgetRetrier) RecordRequest() { r.budget.RecordRequest() }

// Allow implements Retrier.
func (r *BudgetRetrier) Allow(_ *Work, attempts int) bool {
	return attempts < maxAttempts && r.budget.Acquire()
}
