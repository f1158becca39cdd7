package submission

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Workload is what the submissions for one model ask of the engines.
type Workload struct {
	Model string
	// Open are the submissions with unfinished texts.
	Open []OpenWork
	// Arriving is the slot time that submissions ask for in each second, on average; it is
	// zero once they have stopped.
	Arriving float64
	// Interval is the usual time between two submissions; zero until it is known.
	Interval time.Duration
}

// OpenWork is the unfinished work of a submission.
type OpenWork struct {
	// Work is how long its unfinished texts are expected to occupy slots of engines.
	Work time.Duration
	// Items is the number of these texts.
	Items int
	// Due is when the submission is due.
	Due time.Time
}

// Parameters of workloads.
const (
	// runOverhead is how long a run occupies a slot beside its events.
	runOverhead = 50 * time.Millisecond
	// defaultRunDeadline is assumed for a route that sets none.
	defaultRunDeadline = 10 * time.Second
	// intervalWeight is the weight of the newest interval in the average of a model.
	intervalWeight = 0.3
	// stoppedAfter is the number of intervals without a submission after which a model's
	// submissions count as stopped.
	stoppedAfter = 3
	// assumedRuns is the number of runs on an engine that estimates of the run time assume.
	assumedRuns = 4
)

// arrivalStats are moving averages of how often submissions of a model arrive and how large
// they are.
type arrivalStats struct {
	lastAt        time.Time
	interval      float64 // in seconds
	items, tokens float64
}

// observeArrival updates the statistics of a submission's model. The caller holds o.mu.
func (o *Owner) observeArrival(record *recordpb.Submission, arrivedAt time.Time) {
	items, tokens := float64(len(record.GetItems())), 0.0
	for _, i := range record.GetItems() {
		tokens += float64(expectedTokens(i))
	}
	r, known := o.arrivals[record.GetModel()]
	if !known {
		r = &arrivalStats{items: items, tokens: tokens}
		o.arrivals[record.GetModel()] = r
	}
	r.items += demandWeight * (items - r.items)
	r.tokens += demandWeight * (tokens - r.tokens)
	if gap := arrivedAt.Sub(r.lastAt).Seconds(); !r.lastAt.IsZero() && gap > 0 {
		if r.interval == 0 {
			r.interval = gap
		}
		r.interval += intervalWeight * (gap - r.interval)
	}
	if arrivedAt.After(r.lastAt) {
		r.lastAt = arrivedAt
	}
}

// Workloads returns what the submissions for each of the models ask for. Models without any
// are included with empty workloads.
func (o *Owner) Workloads(models []string, now time.Time) []Workload {
	o.mu.Lock()
	defer o.mu.Unlock()
	open := o.openWork()
	workloads := make([]Workload, 0, len(models))
	for _, model := range models {
		w := Workload{Model: model}
		for s, work := range open {
			if s.record.GetModel() == model {
				w.Open = append(w.Open, *work)
			}
		}
		if r := o.arrivals[model]; r != nil {
			w.Interval = time.Duration(r.interval * float64(time.Second))
			if r.interval > 0 && now.Sub(r.lastAt).Seconds() < stoppedAfter*r.interval {
				each := o.runTime(o.lengths.remaining(int64(r.tokens/max(r.items, 1)), 0))
				w.Arriving = r.items * each.Seconds() / r.interval
			}
		}
		workloads = append(workloads, w)
	}
	return workloads
}

// openWork returns the unfinished work of each submission. The caller holds o.mu.
func (o *Owner) openWork() map[*ownedSubmission]*OpenWork {
	open := map[*ownedSubmission]*OpenWork{}
	for _, i := range o.items {
		if !i.isOpen() {
			continue
		}
		work := open[i.submission]
		if work == nil {
			work = &OpenWork{Due: o.dueAt(i.submission)}
			open[i.submission] = work
		}
		work.Items++
		work.Work += o.runTime(o.candidateOf(i).remaining)
	}
	return open
}

// runTime returns how long a run with the given number of events occupies a slot.
func (o *Owner) runTime(events float64) time.Duration {
	gap := o.usualGap
	if gap <= 0 {
		gap = initialGap
	}
	return runOverhead + time.Duration(events*float64(gap)*o.loadSlope.Factor(assumedRuns))
}

// dueAt returns when a submission is due by this node's clock. Its time of acceptance is from
// another node's clock, and counts only as far as it is plausible.
func (o *Owner) dueAt(s *ownedSubmission) time.Time {
	limit := defaultRunDeadline
	if r, ok := o.routeOf(s); ok && r.RunDeadline > 0 {
		limit = r.RunDeadline
	}
	elapsed := min(max(s.openedAt.Sub(s.head.acceptedAt()), 0), limit/2)
	return s.openedAt.Add(limit - elapsed)
}
