package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// ServiceRequest is one call of a plain service to run.
type ServiceRequest struct {
	Call
	Application string
	// Send is what goes to the service; its Address and RequestID are set here.
	Send engine.ServiceCall
	// work is set by Admit and used by Serve.
	work *policy.Work
}

// serviceRun is the state of one service request while it runs.
type serviceRun struct {
	d        *Dispatcher
	request  *ServiceRequest
	work     *policy.Work
	ran      bool
	attempts int
	hedges   int
	unsent   unsent
}

// serviceResult is how one call ended.
type serviceResult struct {
	endpoint *endpoint.Endpoint
	answer   *engine.ServiceAnswer
	err      error
}

// Admit waits until a service request may start. On success, Serve must follow,
// and the returned function must be called once it has ended.
func (d *Dispatcher) Admit(ctx context.Context, request *ServiceRequest) (func(), error) {
	request.work = d.newWork(&request.Call, endpoint.Service, request.Application)
	return d.admit(ctx, &request.Call, request.work)
}

// Serve runs an admitted service request. It returns the whole answer, or an
// error of the request layer that tells the outcome.
func (d *Dispatcher) Serve(ctx context.Context, request *ServiceRequest) (*engine.ServiceAnswer, Effort, error) {
	run := &serviceRun{d: d, request: request, work: request.work}
	answer, err := run.loop(ctx)
	effort := Effort{Attempts: run.attempts, Hedges: run.hedges}
	if err != nil {
		return nil, effort, final(err, run.ran)
	}
	return answer, effort, nil
}

// loop makes calls until one gives a whole answer or no other may follow.
func (r *serviceRun) loop(ctx context.Context) (*engine.ServiceAnswer, error) {
	reason := reasonFirst
	for {
		chosen, err := r.d.choose(ctx, &r.request.Call, r.work)
		if err != nil {
			return nil, err
		}
		r.attempts++
		r.d.options.Metrics.Attempted(r.request.Class.Name, reason)
		started := r.d.now()
		result := r.race(ctx, chosen)
		if errorx.IsOfType(result.err, ErrHeldBack) {
			r.attempts--
			if err := r.d.holdBack(ctx, r.work, result.err); err != nil {
				return nil, err
			}
			continue
		}
		if result.err == nil {
			r.d.options.Policy.Hedger.Observe(r.work, r.d.now().Sub(started))
			return result.answer, nil
		}
		r.ran = r.ran || verdictOf(result.err).ran()
		if err := r.mayGoOn(ctx, result); err != nil {
			return nil, err
		}
		reason = reasonRetry
	}
}

func (r *serviceRun) mayGoOn(ctx context.Context, result serviceResult) error {
	v := verdictOf(result.err)
	switch {
	case ctx.Err() != nil, v == verdictRejected, isRequestError(result.err):
		return result.err
	case v.ran() && !r.request.Idempotent:
		return result.err
	case r.unsent.allow(v):
		r.attempts--
	case !r.d.options.Policy.Retrier.Allow(r.work, r.attempts):
		return result.err
	}
	r.work.Tried = append(r.work.Tried, result.endpoint.ID)
	event.RequestRetried.Log(ctx, r.d.logger, retryAttrs(&r.request.Call, result.endpoint.ID, r.attempts, result.err)...)
	return sleep(ctx, r.d.pauseAfter(r.attempts+int(r.unsent)))
}

// race makes a call and, when the policy hedges the work, a second one
// elsewhere once the first has taken long. The first whole answer counts.
func (r *serviceRun) race(ctx context.Context, first *endpoint.Endpoint) serviceResult {
	delay, hedge := r.d.options.Policy.Hedger.After(r.work)
	if !hedge || !r.request.Idempotent || r.work.Alone {
		return r.attempt(ctx, first)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan serviceResult, maxRacers)
	go func() { results <- r.attempt(ctx, first) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	pending := 1
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				return result
			}
		case <-timer.C:
			if second, ok := r.second(ctx, first); ok {
				pending++
				go func() { results <- r.attempt(ctx, second) }()
			}
		}
	}
}

// second chooses the endpoint of a hedge, within the budget.
func (r *serviceRun) second(ctx context.Context, first *endpoint.Endpoint) (*endpoint.Endpoint, bool) {
	other := *r.work
	other.Tried = append(slices.Clone(r.work.Tried), first.ID)
	chosen, err := r.d.pickNow(&other, nil)
	if err != nil || chosen.ID == first.ID || !r.d.options.Policy.Hedger.Take() {
		return nil, false
	}
	r.hedges++
	r.d.options.Metrics.Attempted(r.request.Class.Name, reasonHedge)
	event.RequestHedged.Log(ctx, r.d.logger, hedgeAttrs(&r.request.Call, first.ID, chosen.ID)...)
	return chosen, true
}

// attempt makes one call at one endpoint.
func (r *serviceRun) attempt(ctx context.Context, chosen *endpoint.Endpoint) serviceResult {
	ended, err := r.d.begin(ctx, &r.request.Call, r.work.Alone, chosen)
	if err != nil {
		return serviceResult{endpoint: chosen, err: err}
	}
	send := r.request.Send
	send.Address = chosen.Address
	send.RequestID = NewID()
	send.StallTimeout = stallAfter(time.Duration(chosen.Live.CallNanos.Load()))
	chosen.Live.InFlight.Add(1)
	started := r.d.now()
	answer, err := r.d.options.Services.Do(ctx, send, r.request.Idempotent)
	chosen.Live.InFlight.Add(-1)
	if err == nil {
		chosen.Live.ObserveCall(r.d.now().Sub(started))
	}
	r.d.observe(chosen, err)
	ended(err)
	return serviceResult{endpoint: chosen, answer: answer, err: err}
}
