package policy

// Limits on retries.
const (
	// retryFraction keeps the number of calls per request below 1.1.
	retryFraction = 0.06
	retryBurst    = 10
	retryStart    = 3
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 4
)

// BudgetRetrier limits retries to a fraction of the requests. It is safe for concurrent use.
type BudgetRetrier struct {
	budget *Budget
}

// NewBudgetRetrier returns a BudgetRetrier whose budget is 6% of the requests, with
// a small burst.
func NewBudgetRetrier() *BudgetRetrier {
	return &BudgetRetrier{budget: NewBudget(retryFraction, retryBurst, retryStart)}
}

// RecordRequest implements Retrier.
func (r *BudgetRetrier) RecordRequest() { r.budget.RecordRequest() }

// Allow implements Retrier.
func (r *BudgetRetrier) Allow(_ *Work, attempts int) bool {
	return attempts < maxAttempts && r.budget.Acquire()
}
