// Package endpoint is the aggregate of one endpoint: what it serves, where it
// is, and what this entry has seen of it.
package endpoint

import (
	"sync/atomic"
	"time"
)

// Kind says which protocol an endpoint speaks.
type Kind int

// Kinds of endpoints.
const (
	Engine Kind = iota
	Service
)

// Endpoint is an immutable picture of one endpoint within a snapshot. Live
// points to the numbers that traffic goroutines update.
type Endpoint struct {
	ID            string
	Kind          Kind
	Serves        string // model or application
	Address       string // host:port
	FailureDomain string
	Region        string
	ChecksFence   bool
	// Leaving: it must get no new work.
	Leaving bool
	// Unready: it serves nothing now (a swap failed partway, or it is staging).
	Unready bool
	// ActiveVersion is the weight version last reported; zero is not known.
	ActiveVersion int64
	// Demotion is the share of its usual work that is withheld, 0 to 1.
	Demotion float64
	// Running, Waiting, Slots and ReportedAt are from its last load report.
	Running, Waiting, Slots int
	ReportedAt              time.Time
	// OwnInFlight is Live.InFlight when that report was taken: the rest of the
	// reported work is other entries'.
	OwnInFlight int
	Live        *Live
}

// Live holds what this entry's own traffic knows of an endpoint. It outlives
// snapshots. All fields are safe for concurrent use.
type Live struct {
	// InFlight is the number of this entry's requests that it holds.
	InFlight atomic.Int64
	// InFlightTokens is the number of tokens expected of them.
	InFlightTokens atomic.Int64
	// Failures counts failures without a success in between.
	Failures atomic.Int64
	// Reserved is above zero while a request that must run alone is there.
	Reserved atomic.Int64
	// LastLeaveReport is the Unix time in nanoseconds of an answer by which the
	// endpoint itself said that it leaves; zero is never.
	LastLeaveReport atomic.Int64
	// TokenNanos is a moving average of the time per token, in nanoseconds.
	TokenNanos atomic.Int64
	// CallNanos is a moving average of the time per call of a service, in
	// nanoseconds.
	CallNanos atomic.Int64
}

// movingAverageWeight is the divisor of the newest value in moving averages.
const movingAverageWeight = 3

// ObserveTokens records that tokens took the given time.
func (l *Live) ObserveTokens(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	average(&l.TokenNanos, took.Nanoseconds()/int64(tokens))
}

// ObserveCall records that a call of a service took the given time.
func (l *Live) ObserveCall(took time.Duration) {
	average(&l.CallNanos, took.Nanoseconds())
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
