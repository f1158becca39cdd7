package dispatch

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// ServiceRequest describes one call of a plain service to run.
type ServiceRequest struct {
	Call
	Application string
	// Send is the call sent to the service. The dispatcher sets its Address and RequestID.
	Send engine.ServiceCall
	// work is set by Admit and used by Serve.
	work *policy.Work
}

// serviceRun is the state of one service request while it runs.
type serviceRun struct {
	run
	request *ServiceRequest
}

// serviceResult is the result of one call of a service.
type serviceResult struct {
	endpoint *endpoint.Endpoint
	answer   *engine.ServiceAnswer
	err      error
}

// Admit waits until a service request may start. If it succeeds, the caller must call Serve,
// and the returned function once Serve has ended.
func (d *Dispatcher) Admit(ctx context.Context, request *ServiceRequest) (func(), error) {
	request.work = d.newWork(&request.Call, endpoint.Service, request.Application)
	return d.admit(ctx, &request.Call, request.work)
}

// Serve runs an admitted service request. It returns the complete answer, or an error of
// the request layer that states the outcome.
func (d *Dispatcher) Serve(ctx context.Context, request *ServiceRequest) (*engine.ServiceAnswer, Effort, error) {
	run := &serviceRun{run: run{d: d, call: &request.Call, work: request.work}, request: request}
	answer, err := run.loop(ctx)
	effort := Effort{Attempts: run.attempts, Hedges: run.hedges}
	if err != nil {
		return nil, effort, finalError(err, run.mayHaveRun)
	}
	return answer, effort, nil
}

// loop makes calls until one returns a complete answer or no further call is allowed.
func (r *serviceRun) loop(ctx context.Context) (*engine.ServiceAnswer, error) {
	reason := reasonFirst
	for {
		chosen, err := r.begin(ctx, reason)
		if err != nil {
			return nil, err
		}
		started := r.d.now()
		result := r.race(ctx, chosen)
		if deferred, err := r.handleDeferred(ctx, result.err); err != nil {
			return nil, err
		} else if deferred {
			continue
		}
		if result.err == nil {
			r.d.options.Policy.Hedger.Observe(r.work, r.d.now().Sub(started))
			return result.answer, nil
		}
		r.mayHaveRun = r.mayHaveRun || outcomeOf(result.err).mayHaveRun()
		if err := r.prepareRetry(ctx, result); err != nil {
			return nil, err
		}
		reason = reasonRetry
	}
}

func (r *serviceRun) prepareRetry(ctx context.Context, result serviceResult) error {
	outcome := outcomeOf(result.err)
	switch {
	case ctx.Err() != nil, outcome == outcomeRejected, isRequestError(result.err):
		return result.err
	case outcome.mayHaveRun() && !r.request.Idempotent:
		return result.err
	}
	r.work.Excluded = append(r.work.Excluded, result.endpoint.ID)
	return r.retry(ctx, result.endpoint.ID, result.err)
}

// race makes a call. If the policy hedges the work, it makes a second call at another
// endpoint after the hedge delay. The first complete answer wins.
func (r *serviceRun) race(ctx context.Context, first *endpoint.Endpoint) serviceResult {
	delay, hedge := r.d.options.Policy.Hedger.After(r.work)
	if !hedge || !r.request.Idempotent || r.work.Exclusive {
		return r.attempt(ctx, first)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan serviceResult, maxParallelAttempts)
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
			if second, ok := r.chooseHedge(ctx, first); ok {
				pending++
				go func() { results <- r.attempt(ctx, second) }()
			}
		}
	}
}

// attempt makes one call at one endpoint.
func (r *serviceRun) attempt(ctx context.Context, chosen *endpoint.Endpoint) serviceResult {
	end, err := r.d.begin(ctx, &r.request.Call, r.work.Exclusive, chosen)
	if err != nil {
		return serviceResult{endpoint: chosen, err: err}
	}
	send := r.request.Send
	send.Address = chosen.Address
	send.RequestID = NewID()
	send.StallTimeout = stallTimeout(time.Duration(chosen.Live.CallNanos.Load()))
	chosen.Live.InFlight.Add(1)
	started := r.d.now()
	answer, err := r.d.options.Services.Do(ctx, send, r.request.Idempotent)
	chosen.Live.InFlight.Add(-1)
	if err == nil {
		chosen.Live.ObserveCall(r.d.now().Sub(started))
	}
	r.d.observe(chosen, err)
	end(err)
	return serviceResult{endpoint: chosen, answer: answer, err: err}
}
