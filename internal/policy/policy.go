package policy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Picker chooses an endpoint for work.
type Picker interface {
	// Pick chooses among endpoints, which it does not change. It reports false
	// when none may take the work now.
	Pick(endpoints []*endpoint.Endpoint, work *Work, now time.Time, random *rand.Rand) (*endpoint.Endpoint, bool)
}

// Admission lets work start, in its order, or refuses it.
type Admission interface {
	// Enter waits until work may start. The caller must call leave once when
	// it has ended. On an error the work must not run.
	Enter(ctx context.Context, work *Work) (leave func(), err error)
}

// Retrier decides on further attempts. It is safe for concurrent use.
type Retrier interface {
	// RecordRequest counts one request of a caller.
	RecordRequest()
	// Allow reports whether another attempt may be made after the given number
	// of attempts. The caller has checked that a repeat is safe.
	Allow(work *Work, attempts int) bool
}

// Hedger decides on second calls made beside a slow first one. It is safe for
// concurrent use.
type Hedger interface {
	// After returns how long to wait for the first call, and false when the
	// work is not to be hedged.
	After(work *Work) (time.Duration, bool)
	// Acquire spends one second call; false when the budget is used up.
	Acquire() bool
	// Observe records how long a whole call took.
	Observe(work *Work, took time.Duration)
}

// Prioritizer gives the priority number that engines order their work by:
// lower runs first.
type Prioritizer interface {
	Priority(work *Work, now time.Time) int
}

// Policy is one whole set of decisions.
type Policy struct {
	Name        string
	Picker      Picker
	Admission   Admission
	Retrier     Retrier
	Hedger      Hedger
	Prioritizer Prioritizer
}
