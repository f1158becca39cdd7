package queue

import (
	"math"
	"time"
)

// Time constants of the use of places.
const (
	// waitMemory is for estimates of waiting times.
	waitMemory = 2 * time.Second
	// demandMemory is for the demand that lanes are fitted to.
	demandMemory = 10 * time.Second
	// leastAge is the least time that a mean is taken over.
	leastAge = time.Second
)

// use estimates how many running places are taken on average by work that
// starts now and then.
type use struct {
	memory time.Duration
	sum    float64 // expected nanoseconds of the work that started, decayed
	first  time.Time
	last   time.Time
}

func (u *use) start(now time.Time, expected time.Duration) {
	if u.first.IsZero() {
		u.first = now
	}
	u.sum = u.decayed(now) + float64(expected)
	u.last = now
}

// places returns the mean number of places.
func (u *use) places(now time.Time) float64 {
	if u.first.IsZero() {
		return 0
	}
	age := max(now.Sub(u.first), leastAge)
	span := float64(u.memory) * (1 - math.Exp(-float64(age)/float64(u.memory)))
	return u.decayed(now) / span
}

func (u *use) decayed(now time.Time) float64 {
	return u.sum * math.Exp(-float64(now.Sub(u.last))/float64(u.memory))
}
