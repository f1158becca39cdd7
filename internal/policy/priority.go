package policy

import "time"

// Numbers of engine priorities. Lower runs first.
const (
	// batchBand is added for work that nobody waits on.
	batchBand = 1 << 42
	// bandTop is the largest number within a band.
	bandTop = batchBand - 1
)

// SlackPriority orders an engine's waiting work by its deadline, interactive
// work always before the rest. The numbers are absolute, in milliseconds of
// Unix time, so entries agree on them without a word, and work that waits
// needs no new number. JSON numbers hold them exactly.
type SlackPriority struct{}

// Priority implements Prioritizer.
func (SlackPriority) Priority(work *Work, _ time.Time) int {
	band := batchBand
	if work.Interactive {
		band = 0
	}
	if work.Deadline.IsZero() {
		return band + bandTop
	}
	return band + int(min(max(work.Deadline.UnixMilli(), 0), bandTop))
}
