package step

import "time"

// Status is how far a step is that this entry owns, for the report.
type Status struct {
	Trainer string
	Step    int64
	Class   string
	// Samples is how many there are; Delivered, how many the trainer holds.
	Samples, Delivered int
	// Discarded counts samples and beginnings that were too old.
	Discarded int64
	// Left is the time to the deadline, negative when it has passed.
	Left time.Duration
	// Needed is the time that the rest takes at the pace so far; Estimated is not
	// set before a sample was finished.
	Needed time.Duration
	Estimated bool
}

// Statuses returns the state of each step that this entry owns, in any order.
func (s *Service) Statuses() []Status {
	now := time.Now()
	var all []Status
	for _, r := range s.all() {
		all = append(all, r.status(now))
	}
	return all
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
		status.Needed = time.Duration(float64(now.Sub(r.made)) * float64(left) / float64(done))
	}
	return status
}
