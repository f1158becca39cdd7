package concurrency

import (
	"sync"
	"time"
)

// Parameters of the usual time.
const (
	// usualRise and usualFall are the fractions by which the usual time rises in a second of times that
	// are longer, and falls in a second of times that are shorter. It settles where
	// usualFall/(usualRise+usualFall) of the times are above it, however long the longest
	// are.
	usualRise = 0.02
	usualFall = 0.04
	// maxStep bounds the time that one observation stands for.
	maxStep = time.Second
	// warmUpTimes is the number of times whose mean the estimate starts with.
	warmUpTimes = 8
)

// Kind identifies requests that take similar time at equal endpoints.
type Kind struct{ Service, Route string }

// UsualTimes are the usual times of requests by kind, over all endpoints of a service. It
// is safe for concurrent use; the zero value is ready to use. The number of kinds is
// bounded by the operator's routes.
type UsualTimes struct {
	mu    sync.Mutex
	kinds map[Kind]*usualTime
}

// usualTime is the estimate of one kind.
type usualTime struct {
	seconds  float64
	observed int
	lastAt   time.Time
}

// Observe records a time and returns it as a multiple of the usual one, or false while the
// usual time is not known.
func (u *UsualTimes) Observe(kind Kind, took time.Duration, now time.Time) (multiple float64, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.kinds[kind]
	if t == nil {
		if u.kinds == nil {
			u.kinds = map[Kind]*usualTime{}
		}
		t = &usualTime{}
		u.kinds[kind] = t
	}
	seconds := max(took, time.Microsecond).Seconds()
	t.observed++
	elapsed := min(now.Sub(t.lastAt), maxStep).Seconds()
	t.lastAt = now
	switch {
	case t.observed <= warmUpTimes:
		t.seconds += (seconds - t.seconds) / float64(t.observed)
	case seconds > t.seconds:
		t.seconds *= 1 + usualRise*elapsed
	default:
		t.seconds *= 1 - usualFall*elapsed
	}
	return seconds / t.seconds, t.observed > warmUpTimes
}

// Of returns the usual time of a kind, or false if it is not known.
func (u *UsualTimes) Of(kind Kind) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.kinds[kind]
	if t == nil || t.observed <= warmUpTimes {
		return 0, false
	}
	return time.Duration(t.seconds * float64(time.Second)), true
}
