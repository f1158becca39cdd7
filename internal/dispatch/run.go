package dispatch

import (
	"context"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// run is the state that completions and service requests share while they run.
type run struct {
	d        *Dispatcher
	call     *Call
	work     *policy.Work
	ran      bool
	attempts int
	hedges   int
	unsent   unsent
}

// begin chooses the endpoint of the next attempt and counts it.
func (r *run) begin(ctx context.Context, reason string) (*endpoint.Endpoint, error) {
	chosen, err := r.d.choose(ctx, r.call, r.work)
	if err != nil {
		return nil, err
	}
	r.attempts++
	r.d.options.Metrics.Attempted(r.call.Class.Name, reason)
	return chosen, nil
}

// heldBack reports whether nothing was sent because a suspect may not run now.
// It has waited then, and fails when that has taken too long.
func (r *run) heldBack(ctx context.Context, err error) (bool, error) {
	if !errorx.IsOfType(err, ErrDeferred) {
		return false, nil
	}
	r.attempts--
	return true, r.d.holdBack(ctx, r.work, err)
}

// retry returns nil, after a pause, when the budget allows another attempt, and
// the error of the last one when it does not.
func (r *run) retry(ctx context.Context, endpointID string, err error) error {
	switch {
	case r.unsent.allow(verdictOf(err)):
		r.attempts--
	case !r.d.options.Policy.Retrier.Allow(r.work, r.attempts):
		return err
	}
	event.RequestRetried.Log(ctx, r.d.logger, retryAttrs(r.call, endpointID, r.attempts, err)...)
	return sleep(ctx, r.d.pauseAfter(r.attempts+int(r.unsent)))
}

// second chooses the endpoint of a hedge; false when nobody else can take it or
// the budget is used up.
func (r *run) second(ctx context.Context, first *endpoint.Endpoint) (*endpoint.Endpoint, bool) {
	other := *r.work
	other.Excluded = append(slices.Clone(r.work.Excluded), first.ID)
	chosen, err := r.d.pickNow(&other, nil)
	if err != nil || chosen.ID == first.ID || !r.d.options.Policy.Hedger.Acquire() {
		return nil, false
	}
	r.hedges++
	r.d.options.Metrics.Attempted(r.call.Class.Name, reasonHedge)
	event.RequestHedged.Log(ctx, r.d.logger, hedgeAttrs(r.call, first.ID, chosen.ID)...)
	return chosen, true
}
