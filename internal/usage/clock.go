package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Reading of the time of day.
const (
	sampleInterval = time.Second
	// maxSamples is the number of readings that are compared. A step of the time of day that
	// is taken back within half of their time has no effect.
	maxSamples = 61
)

// Clock tells the true time although the time of day may jump: it adds to a clock that never
// jumps the median of the differences read lately. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	boot func() time.Duration

	mu sync.Mutex
	// offsets are the last differences between the time of day and the other clock, oldest
	// first, and offset is their median.
	offsets []time.Duration
	offset  time.Duration
}

// NewClock returns a clock that reads the time of day by wall. boot is a clock that never
// jumps and that counts suspensions.
func NewClock(wall func() time.Time, boot func() time.Duration) *Clock {
	c := &Clock{wall: wall, boot: boot}
	c.sample()
	return c
}

// Now returns the time since the start of 1970.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot() + c.offset
}

// Run reads the time of day from time to time until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	for wait.For(ctx, sampleInterval) {
		c.sample()
	}
}

// sample reads the time of day and updates the median.
func (c *Clock) sample() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets = append(c.offsets, time.Duration(c.wall().UnixNano())-c.boot())
	if len(c.offsets) > maxSamples {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	sorted := slices.Sorted(slices.Values(c.offsets))
	c.offset = sorted[len(sorted)/2]
}
