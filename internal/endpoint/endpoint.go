// Package endpoint describes one endpoint: what it serves, where it is, and what this
// entry has measured of it.
package endpoint

import (
	"sync/atomic"
	"time"
)

// Kind is the protocol of an endpoint.
type Kind int

// Kinds of endpoints.
const (
	Engine Kind = iota
	Service
)

// Endpoint is the immutable state of one endpoint within a snapshot. Live points to the
// counters that traffic goroutines update.
type Endpoint struct {
	ID            string
	Kind          Kind
	Serves        string // model or application
	Address       string // host:port
	FailureDomain string
	Region        string
	ChecksFence   bool
	// Leaving means that the endpoint must get no new work.
	Leaving bool
	// Unready means that the endpoint serves nothing at present, because a swap failed
	// midway or because it is staging.
	Unready bool
	// ActiveVersion is the last reported weight version; zero means unknown.
	ActiveVersion int64
	// Demotion is the fraction of its usual work that is withheld, 0 to 1.
	Demotion float64
	// Running, Waiting, Slots and ReportedAt are taken from the last load report.
	Running, Waiting, Slots int
	ReportedAt              time.Time
	// OwnInFlight is the value of Live.InFlight at the time of that report. The rest of
	// the reported work belongs to other entries.
	OwnInFlight int
	Live        *Live
}

// Live holds what this entry's own traffic has measured of an endpoint. It outlives
// snapshots. All fields are safe for concurrent use.
type Live struct {
	// InFlight is the number of this entry's requests in flight at the endpoint.
	InFlight atomic.Int64
	// InFlightTokens is the number of tokens that those requests are expected to generate.
	InFlightTokens atomic.Int64
	// Failures counts consecutive failures.
	Failures atomic.Int64
	// Reserved is above zero while the endpoint runs a request that must not share it with
	// other requests.
	Reserved atomic.Int64
	// LastLeaveReport is the Unix time in nanoseconds of the last answer in which the
	// endpoint reported that it is leaving; zero means never.
	LastLeaveReport atomic.Int64
	// TokenNanos is a moving average of the time per token, in nanoseconds.
	TokenNanos atomic.Int64
	// CallNanos is a moving average of the time per call of a service, in
	// nanoseconds.
	CallNanos atomic.Int64
}

// movingAverageWeight is the divisor of the newest value in moving averages.
const movingAverageWeight = 3

// ObserveTokens records the time that the generation of tokens took.
func (l *Live) ObserveTokens(tokens int, elapsed time.Duration) {
	if tokens <= 0 {
		return
	}
	average(&l.TokenNanos, elapsed.Nanoseconds()/int64(tokens))
}

// ObserveCall records the time that a call of a service took.
func (l *Live) ObserveCall(elapsed time.Duration) {
	average(&l.CallNanos, elapsed.Nanoseconds())
}

func average(a *atomic.Int64, value int64) {
	for {
		old := a.Load()
		next := value
		if old != 0 {
			next = old + (value-old)/movingAverageWeight
		}
		if a.CompareAndSwap(old, next) {
			return
		}
	}
}
