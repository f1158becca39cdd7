package dispatch

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
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
	run
	request *ServiceRequest
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
	run := &serviceRun{run: run{d: d, call: &request.Call, work: request.work}, request: request}
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
		chosen, err := r.begin(ctx, reason)
		if err != nil {
			return nil, err
		}
		started := r.d.now()
		result := r.race(ctx, chosen)
		if held, err := r.heldBack(ctx, result.err); err != nil {
			return nil, err
		} else if held {
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
	}
	r.work.Excluded = append(r.work.Excluded, result.endpoint.ID)
	return r.retry(ctx, result.endpoint.ID, result.err)
}

// race makes a call and, when the policy hedges the work, a second one
// elsewhere once the first has taken long. The first whole answer counts.
func (r *serviceRun) race(ctx context.Context, first *endpoint.Endpoint) serviceResult {
	delay, hedge := r.d.options.Policy.Hedger.After(r.work)
	if !hedge || !r.request.Idempotent || r.work.Exclusive {
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

// attempt makes one call at one endpoint.
func (r *serviceRun) attempt(ctx context.Context, chosen *endpoint.Endpoint) serviceResult {
	ended, err := r.d.begin(ctx, &r.request.Call, r.work.Exclusive, chosen)
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
