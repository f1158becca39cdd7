package queue

import (
	"math"
	"time"
)

// useMemory is the time constant of the use of places.
const useMemory = 2 * time.Second

// use estimates how many running places are taken on average by work that
// starts now and then. The zero value is none.
type use struct {
	sum  float64 // expected nanoseconds of the work that started, decayed
	last time.Time
}

func (u *use) start(now time.Time, expected time.Duration) {
	u.sum = u.decayed(now) + float64(expected)
	u.last = now
}

// places returns the mean number of places.
func (u *use) places(now time.Time) float64 {
	return u.decayed(now) / float64(useMemory)
}

func (u *use) decayed(now time.Time) float64 {
	return u.sum * math.Exp(-float64(now.Sub(u.last))/float64(useMemory))
}
