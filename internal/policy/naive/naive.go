// Package naive implements the simplest version of every decision: round robin over
// the available endpoints, first in first out, no precedence of classes, no hedging, and
// one retry on another endpoint. It is the baseline of tests and measurements.
package naive

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// New returns the complete baseline policy.
func New() policy.Policy {
	return policy.Policy{
		Name:        "naive",
		Picker:      &RoundRobin{},
		Admission:   AdmitAll{},
		Retrier:     RetryOnce{},
		Hedger:      NoHedge{},
		Prioritizer: FirstInFirstOut{},
	}
}

// RoundRobin picks the available endpoints in turn. It is safe for concurrent use; the
// zero value is ready to use.
type RoundRobin struct {
	turn atomic.Uint64
}

// Pick implements policy.Picker.
func (r *RoundRobin) Pick(endpoints []*endpoint.Endpoint, work *policy.Work, _ time.Time, _ *rand.Rand) (*endpoint.Endpoint, bool) {
	for range endpoints {
		turn := r.turn.Add(1) - 1
		e := endpoints[turn%uint64(len(endpoints))]
		if isLive(e) && e.ActiveVersion >= work.MinVersion && !slices.Contains(work.Excluded, e.ID) {
			return e, true
		}
	}
	return nil, false
}

func isLive(e *endpoint.Endpoint) bool {
	return !e.Leaving && !e.Unready && e.Live.LastLeaveReport.Load() == 0
}

// AdmitAll admits all work immediately; endpoints queue it first in first out.
type AdmitAll struct{}

// Enter implements policy.Admission.
func (AdmitAll) Enter(ctx context.Context, _ *policy.Work) (func(), error) {
	return func() {}, ctx.Err()
}

// RetryOnce allows one retry, without a budget.
type RetryOnce struct{}

// RecordRequest implements policy.Retrier.
func (RetryOnce) RecordRequest() {}

// Allow implements policy.Retrier.
func (RetryOnce) Allow(_ *policy.Work, attempts int) bool { return attempts < 2 }

// NoHedge never hedges.
type NoHedge struct{}

// After implements policy.Hedger.
func (NoHedge) After(*policy.Work) (time.Duration, bool) { return 0, false }

// Acquire implements policy.Hedger.
func (NoHedge) Acquire() bool { return false }

// Observe implements policy.Hedger.
func (NoHedge) Observe(*policy.Work, time.Duration) {}

// FirstInFirstOut gives all work the same priority.
type FirstInFirstOut struct{}

// Priority implements policy.Prioritizer.
func (FirstInFirstOut) Priority(*policy.Work, time.Time) int { return 0 }
