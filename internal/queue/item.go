package queue

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// noDeadline is the slack of work without a deadline.
const noDeadline = time.Hour

// item is one request that waits or runs.
type item struct {
	work  *policy.Work
	group *group
	line  *line
	// number rises with each item of the group.
	number uint64
	// expected is how long it should run.
	expected time.Duration
	// startBy is when it must start to be in time, almost surely.
	startBy   time.Time
	verdict   chan error
	started   bool
	startedAt time.Time
	// index is its place in the line's heap; -1 when it is not in it.
	index int
}

func (i *item) start(now time.Time) {
	i.started = true
	i.startedAt = now
	i.verdict <- nil
}

func (i *item) refuse(reason string, after time.Duration) {
	i.verdict <- refused(reason, after)
}

// late reports whether it can no longer be in time.
func (i *item) late(now time.Time) bool {
	return !i.work.AllowLate && i.startBy.Before(now)
}
