// Package concurrency estimates how much concurrency an endpoint takes well: its pace
// without contention, the number of requests from which it slows down, and from these a
// limit. It is fed with the times of requests and imports no adapter.
package concurrency

import (
	"math"
	"sync"
	"time"
)

// Parameters of the estimate.
const (
	// windowSize is the number of observations that a fit uses, and maxSampleAge the age
	// from which they are not used any more.
	windowSize   = 64
	maxSampleAge = 30 * time.Second
	// sampleInterval is the time for which one observation stands in the window, so that the
	// window covers seconds however many requests there are.
	sampleInterval = 40 * time.Millisecond
	// refitInterval is the number of observations between fits. The first fit waits for
	// minFitSamples.
	refitInterval = 16
	minFitSamples = 32
	// minPaceSamples is the number of observations from which a pace is known.
	minPaceSamples = 8
	// recentWeight is the weight of the latest observation in the present slowdown, and
	// maxDeviation bounds how far one observation can differ, as a logarithm: a single slow
	// answer changes little.
	recentWeight = 0.25
	maxDeviation = 1.1
	// noticeableFactor is the factor below which a difference in time counts as none, and
	// certainFactor the one from which it counts in full.
	noticeableFactor = 1.2
	certainFactor    = 1.4
	// minMultiple bounds observed times from below, so that a time of zero has a logarithm.
	minMultiple = 0.01
	// tolerance is the factor by which requests may take longer at the limit than alone.
	tolerance = 1.25
	// staleAfter is how long an estimate that keeps work away is trusted without new
	// observations.
	staleAfter = 2 * time.Second
	// baseFade and slowdownFade are how fast a stale base time and a stale slowdown lose their
	// influence.
	baseFade     = 20 * time.Second
	slowdownFade = 5 * time.Second
	// refusalMemory is how long a refusal influences the limit.
	refusalMemory = 4 * time.Second
	// relaxation is the factor by which the knee rises per fit that saw no load near it.
	relaxation = 1.05
)

// sample is one observation: the number of requests in flight and the logarithm of the time
// relative to the usual time.
type sample struct {
	inFlight, time float32
	at             int64 // Unix nanoseconds
}

// Estimate is what is known of one endpoint. It is safe for concurrent use; the zero value
// is ready to use.
type Estimate struct {
	mu     sync.Mutex
	window *[windowSize]sample
	// observed and sampled are the numbers of observations and of those that were added to
	// the window, the last of them at sampledAt.
	observed, sampled int
	lastAt, sampledAt time.Time
	// base is the logarithm of the endpoint's time without contention, relative to the usual
	// time of the service.
	base float64
	// recent is a moving average of how much the latest observations exceed what base and
	// knee predict, as a logarithm.
	recent float64
	// knee is the number of requests from which times grow in proportion to the number;
	// zero means that none is known.
	knee float64
	// kneeFits is the number of fits in a row that showed a knee.
	kneeFits int
	// refusedAt is when the endpoint last refused a request, and refusedWith the number in
	// flight then.
	refusedAt   time.Time
	refusedWith float64
	// probedAt is when Probe last returned true.
	probedAt time.Time
}

// Observe records a request that took the given multiple of the usual time while the
// endpoint had, on average, inFlight requests including this one.
func (e *Estimate) Observe(multiple, inFlight float64, slots int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(logarithm(multiple), max(inFlight, 1), slots, now)
}

// ObserveAtLeast records a request that was given up after the given multiple of the usual
// time. It counts only if this is longer than expected.
func (e *Estimate) ObserveAtLeast(multiple, inFlight float64, slots int, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := logarithm(multiple); t > e.expected(max(inFlight, 1), slots)+e.recent {
		e.observe(t, max(inFlight, 1), slots, now)
	}
}

// logarithm returns the logarithm of an observed multiple.
func logarithm(multiple float64) float64 { return math.Log(max(multiple, minMultiple)) }

// observe records one observation. The caller holds e.mu.
func (e *Estimate) observe(t, inFlight float64, slots int, now time.Time) {
	e.observed++
	e.lastAt = now
	if e.observed > minPaceSamples {
		change := t - e.expected(inFlight, slots) - e.recent
		e.recent += recentWeight * min(max(change, -maxDeviation), maxDeviation)
		if now.Sub(e.sampledAt) < sampleInterval {
			return
		}
	}
	if e.window == nil {
		e.window = &[windowSize]sample{}
	}
	e.window[e.sampled%windowSize] = sample{inFlight: float32(inFlight), time: float32(t), at: now.UnixNano()}
	e.sampled++
	e.sampledAt = now
	switch {
	case e.observed <= minPaceSamples:
		e.base = medianTime(e.window[:e.sampled])
	case e.sampled >= minFitSamples && e.sampled%refitInterval == 0:
		e.refit(slots, now)
	}
}

// expected returns the logarithm of the expected time without the present slowdown. The
// caller holds e.mu.
func (e *Estimate) expected(inFlight float64, slots int) float64 {
	factor := timeFactor(inFlight, e.knee, slots)
	if factor == 1 {
		return e.base
	}
	return e.base + math.Log(factor)
}

// timeFactor returns how much longer requests take with a number in flight than alone. If
// no knee is known, they wait for a slot from the number of slots on.
func timeFactor(inFlight, knee float64, slots int) float64 {
	if knee <= 0 {
		knee = float64(slots)
	}
	return max(inFlight/knee, 1)
}

// ObserveRefusal records that the endpoint refused a request while it had the given number
// in flight.
func (e *Estimate) ObserveRefusal(inFlight float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.refusedAt) < refusalMemory {
		inFlight = min(inFlight, e.refusedWith)
	}
	e.refusedAt, e.refusedWith = now, max(inFlight, 1)
}
