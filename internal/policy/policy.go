package policy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Picker chooses an endpoint for work.
type Picker interface {
	// Pick chooses one of endpoints, which it does not modify. It returns false if
	// no endpoint is eligible for the work now.
	Pick(endpoints []*endpoint.Endpoint, work *Work, now time.Time, random *rand.Rand) (*endpoint.Endpoint, bool)
}

// Admission orders waiting work and admits or refuses it.
type Admission interface {
	// Enter waits until work may start. The caller must call leave exactly once when
	// the work has ended. If Enter returns an error, the work must not run.
	Enter(ctx context.Context, work *Work) (leave func(), err error)
}

// Retrier decides whether a failed request is retried. It is safe for concurrent use.
type Retrier interface {
	// RecordRequest counts one request of a caller.
	RecordRequest()
	// Allow reports whether another attempt may follow the given number of attempts.
	// The caller must have checked that a retry is safe.
	Allow(work *Work, attempts int) bool
}

// Hedger decides when a second call is made in parallel with a slow first one. It is
// safe for concurrent use.
type Hedger interface {
	// After returns how long to wait for the first call before hedging. It returns
	// false if the work must not be hedged.
	After(work *Work) (time.Duration, bool)
	// Acquire spends one hedge from the budget. It returns false if the budget is
	// exhausted.
	Acquire() bool
	// Observe records the duration of a complete call.
	Observe(work *Work, elapsed time.Duration)
}

// Prioritizer computes the priority number by which engines order their work. Lower
// numbers run first.
type Prioritizer interface {
	Priority(work *Work, now time.Time) int
}

// Policy is a complete set of decisions.
type Policy struct {
	Name        string
	Picker      Picker
	Admission   Admission
	Retrier     Retrier
	Hedger      Hedger
	Prioritizer Prioritizer
}
