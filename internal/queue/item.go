package queue

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// defaultDeadline is the time from arrival to the deadline that is assumed for work without one.
const defaultDeadline = time.Hour

// item is one waiting or running request.
type item struct {
	work       *policy.Work
	modelQueue *modelQueue
	classQueue *classQueue
	// sequence increases with each item of the model queue.
	sequence uint64
	// expected is the estimated duration of the request.
	expected time.Duration
	// startBy is the latest start time at which the item very likely meets its deadline.
	startBy   time.Time
	decision  chan error
	started   bool
	startedAt time.Time
	// index is the item's position in the heap of its class queue; -1 if it is not queued.
	index int
}

func (i *item) start(now time.Time) {
	i.started = true
	i.startedAt = now
	i.decision <- nil
}

func (i *item) refuse(reason string, after time.Duration) {
	i.decision <- refused(reason, after)
}

// late reports whether the item can no longer meet its deadline and may be refused.
func (i *item) late(now time.Time) bool {
	return !i.work.AllowLate && i.startBy.Before(now)
}
