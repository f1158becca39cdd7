package policy

import "time"

// Bounds of the engine priority numbers. Lower numbers run first.
const (
	// batchOffset is added for work that is not interactive.
	batchOffset = 1 << 42
	// maxDeadlineNumber is the largest number before the offset is added.
	maxDeadlineNumber = batchOffset - 1
)

// SlackPriority orders an engine's waiting work by deadline, with interactive work
// always before other work. The numbers are absolute, in milliseconds of Unix time, so
// entries agree on them without communicating and waiting work never needs a new
// number. A JSON number represents them exactly.
type SlackPriority struct{}

// Priority implements Prioritizer.
func (SlackPriority) Priority(work *Work, _ time.Time) int {
	offset := batchOffset
	if work.Interactive {
		offset = 0
	}
	if work.Deadline.IsZero() {
		return offset + maxDeadlineNumber
	}
	return offset + int(min(max(work.Deadline.UnixMilli(), 0), maxDeadlineNumber))
}
