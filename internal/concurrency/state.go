package concurrency

import (
	"math"
	"time"
)

// State is what an endpoint is believed to take at one moment. The zero value means that
// nothing is known.
type State struct {
	// Known is true from the first few observations on.
	Known bool
	// Base is the time without contention relative to the usual time of the service, and
	// Slowdown by how much more requests take now; both are 1 if the difference is not
	// noticeable.
	Base, Slowdown float64
	// Knee is the number in flight from which requests take longer; zero means that none is
	// known.
	Knee float64
	// Limit is the number of requests in flight that the endpoint takes well.
	Limit float64
	// Reason is what determines the limit.
	Reason Reason
	// Age is the time since the last observation, and Stale is true if it is too long for an
	// estimate that keeps work away.
	Age   time.Duration
	Stale bool
}

// Reason is what determines a limit.
type Reason int

// The reasons of limits.
const (
	// ReasonUnknown: nothing was observed; the number of slots is the limit.
	ReasonUnknown Reason = iota
	// ReasonSlots: no slowdown was seen below the number of slots.
	ReasonSlots
	// ReasonSlowdown: requests take longer beyond the limit.
	ReasonSlowdown
	// ReasonRefusals: the endpoint refused requests.
	ReasonRefusals
	reasonCount
)

var reasonNames = [reasonCount]string{"unknown", "slots", "slowdown", "refusals"}

func (r Reason) String() string { return reasonNames[r] }

// State returns the present estimate for an endpoint with the given number of slots.
func (e *Estimate) State(slots int, now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Base: 1, Slowdown: 1, Limit: float64(slots)}
	if e.observed >= minPaceSamples {
		s.Known, s.Reason, s.Age = true, ReasonSlots, now.Sub(e.lastAt)
		s.Base, s.Slowdown = noticed(e.base*fade(s.Age, baseFade)), max(noticed(e.recent*fade(s.Age, slowdownFade)), 1)
		s.Stale = s.Age > staleAfter && now.Sub(e.probedAt) > staleAfter
		s.Knee = e.knee
	}
	if e.knee > 0 && e.knee*tolerance < s.Limit {
		s.Limit, s.Reason = max(e.knee*tolerance, 1), ReasonSlowdown
	}
	if limit, ok := e.refusalLimit(slots, now); ok && limit < s.Limit {
		s.Limit, s.Reason = limit, ReasonRefusals
	}
	return s
}

// fade returns how much influence an estimate of the given age still has.
func fade(age, over time.Duration) float64 {
	if age <= staleAfter {
		return 1
	}
	return math.Exp(-(age - staleAfter).Seconds() / over.Seconds())
}

// Bad reports whether requests are believed to take noticeably longer than usual.
func (s State) Bad() bool { return s.Base*s.Slowdown >= noticeableFactor }

// noticed returns the factor of a logarithm. Small differences count as none, and those
// between noticeableFactor and certainFactor in part, so that equal endpoints stay equal.
func noticed(logarithm float64) float64 {
	distance := math.Abs(logarithm)
	if distance < logNoticeable {
		return 1
	}
	return math.Exp(logarithm * min((distance-logNoticeable)/(logCertain-logNoticeable), 1))
}

var logNoticeable, logCertain = math.Log(noticeableFactor), math.Log(certainFactor)

// refusalLimit returns the number of requests with which the endpoint refused one; it rises
// to the number of slots as the refusal becomes old. The caller holds e.mu.
func (e *Estimate) refusalLimit(slots int, now time.Time) (float64, bool) {
	age := now.Sub(e.refusedAt)
	if e.refusedAt.IsZero() || age >= refusalMemory {
		return 0, false
	}
	return e.refusedWith + (float64(slots)-e.refusedWith)*float64(age)/float64(refusalMemory), true
}

// Factor returns how much longer requests take with the given number in flight than alone,
// because the endpoint slows down; waiting for a slot is not included.
func (s State) Factor(inFlight float64) float64 {
	if s.Knee <= 0 || inFlight < noticeableFactor*s.Knee {
		return 1
	}
	return inFlight / s.Knee
}

// Multiple returns the expected time of a request as a multiple of the usual time of the
// service, if it is the last of inFlight requests.
func (s State) Multiple(inFlight float64) float64 { return s.Base * s.Slowdown * s.Factor(inFlight) }

// Probe reports whether the estimate should be tried out by one request, and records that
// one is sent.
func (e *Estimate) Probe(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastAt) <= staleAfter || now.Sub(e.probedAt) <= staleAfter {
		return false
	}
	e.probedAt = now
	return true
}
