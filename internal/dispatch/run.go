package dispatch

import (
	"context"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// run is the state common to running completions and service requests.
type run struct {
	d           *Dispatcher
	call        *Call
	work        *policy.Work
	mayHaveRun  bool
	attempts    int
	hedges      int
	unsentCalls unsentCalls
}

// begin chooses the endpoint of the next attempt and counts the attempt.
func (r *run) begin(ctx context.Context, reason string) (*endpoint.Endpoint, error) {
	chosen, err := r.d.choose(ctx, r.call, r.work)
	if err != nil {
		return nil, err
	}
	r.attempts++
	r.d.options.Metrics.Attempted(r.call.Class.Name, reason)
	return chosen, nil
}

// handleDeferred reports whether nothing was sent because a suspect may not run now. In that
// case it waits before it returns, and fails if the suspect has been deferred for too long.
func (r *run) handleDeferred(ctx context.Context, err error) (bool, error) {
	if !errorx.IsOfType(err, ErrDeferred) {
		return false, nil
	}
	r.attempts--
	return true, r.d.waitDeferred(ctx, r.work, err)
}

// retry waits for the backoff and returns nil if another attempt is allowed, because the last
// call was not sent or by the retry budget. Otherwise it returns the error of the last attempt.
func (r *run) retry(ctx context.Context, endpointID string, err error) error {
	switch {
	case r.unsentCalls.allow(outcomeOf(err)):
		r.attempts--
	case !r.d.options.Policy.Retrier.Allow(r.work, r.attempts):
		return err
	}
	event.RequestRetried.Log(ctx, r.d.logger, retryAttrs(r.call, endpointID, r.attempts, err)...)
	return sleep(ctx, r.d.backoffAfter(r.attempts+int(r.unsentCalls)))
}

// chooseHedge chooses the endpoint of a hedge. It returns false if no other endpoint is
// eligible or the budget is exhausted.
func (r *run) chooseHedge(ctx context.Context, first *endpoint.Endpoint) (*endpoint.Endpoint, bool) {
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
