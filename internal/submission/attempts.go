package submission

// Limits of the runs of an item over all submissions that contain it.
const (
	// maxRejections is the number of rejections after which an item is not run again, and
	// maxFailedRounds how often all attempts of its route may fail.
	maxRejections   = 3
	maxFailedRounds = 3
)

// attempts counts the runs of an item that endpoints reported as failed or rejected.
type attempts struct {
	// failed counts the failed runs of the present submission.
	failed int
	// failedInAll and rejected also count those of earlier submissions.
	failedInAll, rejected int
}

// fail counts a failed run and reports whether the item is given up, given the attempts that
// its route allows.
func (a *attempts) fail(allowed int) bool {
	a.failed++
	a.failedInAll++
	return a.failed >= allowed || a.exhausted(allowed)
}

// carryOver starts the count of another submission.
func (a *attempts) carryOver() { a.failed = 0 }

// exhausted reports whether the item must not be run again in any submission.
func (a *attempts) exhausted(allowed int) bool {
	return a.rejected >= maxRejections || a.failedInAll >= maxFailedRounds*allowed
}
