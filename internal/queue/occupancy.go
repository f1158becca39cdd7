package queue

import (
	"math"
	"time"
)

// Time constants of the occupancy estimates.
const (
	// waitWindow is the time constant for estimates of waiting times.
	waitWindow = 2 * time.Second
	// demandWindow is the time constant for the demand that determines the size of lanes.
	demandWindow = 10 * time.Second
	// minAge is the shortest period over which a mean is computed.
	minAge = time.Second
)

// occupancy estimates the mean number of slots occupied by work, from the start times and
// expected durations of that work.
type occupancy struct {
	window time.Duration // time constant of the decay
	sum    float64       // expected nanoseconds of the started work, exponentially decayed
	first  time.Time
	last   time.Time
}

func (o *occupancy) start(now time.Time, expected time.Duration) {
	if o.first.IsZero() {
		o.first = now
	}
	o.sum = o.decayed(now) + float64(expected)
	o.last = now
}

// slots returns the mean number of occupied slots.
func (o *occupancy) slots(now time.Time) float64 {
	if o.first.IsZero() {
		return 0
	}
	age := max(now.Sub(o.first), minAge)
	span := float64(o.window) * (1 - math.Exp(-float64(age)/float64(o.window)))
	return o.decayed(now) / span
}

func (o *occupancy) decayed(now time.Time) float64 {
	return o.sum * math.Exp(-float64(now.Sub(o.last))/float64(o.window))
}
