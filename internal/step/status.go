package step

import "time"

// Status is the progress of one step that this entry owns, as shown in reports.
type Status struct {
	Trainer string
	Step    int64
	Class   string
	// Samples is the number of samples in the step; Delivered is the number that the
	// trainer holds.
	Samples, Delivered int
	// Discarded is the number of complete and partial samples that exceeded the
	// staleness bound.
	Discarded int64
	// Left is the time until the deadline, negative after it.
	Left time.Duration
	// Needed is the estimated time for the remaining samples at the average rate so
	// far. Estimated is false, and Needed zero, until a sample has finished.
	Needed    time.Duration
	Estimated bool
}

// Statuses returns the status of each step that this entry owns, in no particular
// order.
func (s *Service) Statuses() []Status {
	now := time.Now()
	var statuses []Status
	for _, r := range s.allRuns() {
		statuses = append(statuses, r.status(now))
	}
	return statuses
}

func (r *run) status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	spec, counts := &r.step.spec, &r.step.counts
	status := Status{
		Trainer:   spec.Trainer,
		Step:      spec.Step,
		Class:     spec.Class,
		Samples:   len(r.step.slots),
		Delivered: counts[held],
		Discarded: r.step.discarded,
		Left:      r.deadline.Sub(now),
	}
	if done := counts[ready] + counts[held]; done > 0 {
		left := counts[waiting] + counts[running]
		status.Estimated = true
		status.Needed = time.Duration(float64(now.Sub(r.created)) * float64(left) / float64(done))
	}
	return status
}
