// Package forward serves plain requests and streams: it sends each to an endpoint
// of its route, retries where the route's kind allows it, and returns an error that
// indicates whether the request may have run if there is no answer.
package forward

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/concurrency"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Times and limits of attempts.
const (
	// hedgeFraction is the fraction of a route's target latency after which a
	// repeatable request without an answer is also sent to a second endpoint.
	hedgeFraction = 0.45
	// fullPause is the pause before a request that all endpoints refused is sent
	// again.
	fullPause = 25 * time.Millisecond
	// maxRefusedSends is the number of refused sends that are allowed in addition
	// to the route's attempts: a refused request did not run.
	maxRefusedSends = 6
)

// Service forwards plain requests and streams to endpoints. It is safe for
// concurrent use.
type Service struct {
	Directory *fleet.Directory
	Caller    call.Caller
	Streamer  call.Streamer
	Crashes   *Crashes
	// Usual are the usual times of requests, by service and route.
	Usual  concurrency.UsualTimes
	Zone   string
	Logger *slog.Logger
	// Began is called once for each request that began to run at an endpoint, with the time
	// since then. It may be nil.
	Began func(request *call.Request, ago time.Duration)
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint *fleet.Endpoint
	sent     time.Time
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	attempt
	answer *call.Answer
	err    error
}

// requestRun is the state of one request while its attempts run.
type requestRun struct {
	service *Service
	route   *route.Route
	request *call.Request
	results chan attemptResult
	tried   []string
	// first is the endpoint of the first attempt.
	first *fleet.Endpoint
	// open are the attempts in flight.
	open []attempt
	// sent counts attempts that may have run, and refused those that did not.
	sent, refused int
	// began is when the first attempt was sent that may have run; zero if there is none.
	began time.Time
	// lastErr is the error of the last attempt that may have run, or else that of the last
	// one.
	lastErr error
	// failure is an answer in which an endpoint reported a failure. It is returned
	// if no other attempt succeeds.
	failure *call.Answer
}

// Do returns an endpoint's complete answer, or an error that reports whether the
// request may have run. The caller cancels ctx when it stops waiting or when the
// request's deadline passes.
func (s *Service) Do(ctx context.Context, r *route.Route, request *call.Request) (*call.Answer, error) {
	record, err := s.admit(ctx, r, request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &requestRun{service: s, route: r, request: request, results: make(chan attemptResult, r.MaxAttempts+maxRefusedSends+1)}
	return x.loop(ctx, record)
}

// admit returns the record of the crashes during the request, or ErrRejected if the request
// is blocked because endpoints crashed while running it.
func (s *Service) admit(ctx context.Context, r *route.Route, request *call.Request) (crashRecord, error) {
	record := s.Crashes.recordOf(r, request)
	if record.blocked() {
		event.RequestWithheld.Log(ctx, s.Logger, slog.String("request", request.ID))
		return record, call.ErrRejected.New("the request is blocked because endpoints crashed while running it")
	}
	return record, nil
}

func (x *requestRun) loop(ctx context.Context, record crashRecord) (*call.Answer, error) {
	x.launch(ctx)
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	defer x.reportBegin()
	for {
		if len(x.open) == 0 {
			done, err := x.retry(ctx, record)
			if done {
				return x.failure, err
			}
			if len(x.open) == 0 {
				continue // no endpoint is available yet
			}
		}
		select {
		case <-ctx.Done():
			return nil, call.ErrEnded.Wrap(ctx.Err(), "no answer in time from %s after %d earlier attempts", strings.Join(x.waitingFor(), ", "), x.sent+x.refused)
		case <-hedge.C:
			if x.route.Repeatable() && x.sent+len(x.open) < x.route.MaxAttempts {
				x.launch(ctx)
			}
		case result := <-x.results:
			x.open = slices.DeleteFunc(x.open, func(a attempt) bool { return a.endpoint.ID == result.endpoint.ID })
			if x.handleResult(ctx, result, record) {
				return result.answer, nil
			}
		}
	}
}

// retry starts the next attempt when none is in flight, or reports that the request
// is finished.
func (x *requestRun) retry(ctx context.Context, record crashRecord) (bool, error) {
	if x.sent > 0 && !x.route.Repeatable() || x.sent >= x.route.MaxAttempts || x.refused > maxRefusedSends {
		return true, x.finalError()
	}
	if record.blocked() {
		return true, x.finalError()
	}
	if x.launch(ctx) {
		return false, nil
	}
	// No endpoint is left: send the request again to those that refused it.
	if !wait.For(ctx, fullPause) {
		return true, x.finalError()
	}
	x.refused++
	x.tried = nil
	x.launch(ctx)
	return false, nil
}

// finalError returns the error of a request that is not retried, or nil if an
// endpoint's own failure is the answer.
func (x *requestRun) finalError() error {
	switch {
	case x.failure != nil:
		return nil
	case x.sent == 0 && x.lastErr == nil:
		return call.ErrNoEndpoint.New("no endpoint of the route accepts work")
	}
	return x.lastErr
}

// waitingFor returns the IDs of the endpoints that have the request and have not answered.
func (x *requestRun) waitingFor() []string {
	ids := make([]string, len(x.open))
	for i, a := range x.open {
		ids[i] = a.endpoint.ID
	}
	return ids
}

// launch starts an attempt at the best endpoint, or returns false if there is none.
func (x *requestRun) launch(ctx context.Context) bool {
	service := x.route.ServiceFor(x.request.ID)
	e, ok := fleet.Choose(x.service.Directory.Of(service), x.work(service), time.Now())
	if !ok {
		return false
	}
	x.tried = append(x.tried, e.ID)
	a := attempt{endpoint: e, sent: time.Now()}
	x.open = append(x.open, a)
	if x.first == nil {
		x.first = e
	}
	go func() {
		m := x.service.measure(e, x.kind(service))
		answer, err := x.service.Caller.Call(ctx, e, x.request)
		m.end(answer, err)
		x.results <- attemptResult{attempt: a, answer: answer, err: err}
	}()
	return true
}

// handleResult evaluates the result of an attempt and reports whether it is the
// answer to the request.
func (x *requestRun) handleResult(ctx context.Context, result attemptResult, record crashRecord) bool {
	now := time.Now()
	x.noteBegin(result.attempt, result.err)
	if result.err == nil && result.answer.Stamp == "" {
		result.err = call.ErrForeign.New("answer without a signature, status %d", result.answer.Status)
	}
	if result.err == nil {
		x.sent++
		result.endpoint.Live.Succeed()
		record.clear()
		if result.answer.Status < 500 || x.request.ReturnFailures || !x.route.Repeatable() || x.sent >= x.route.MaxAttempts && len(x.open) == 0 {
			return true
		}
		x.failure = result.answer
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	x.lastErr = moreCertain(x.lastErr, result.err)
	x.countFailure(result, record, now)
	event.AttemptFailed.Log(ctx, x.service.Logger, slog.String("request", x.request.ID), slog.String("endpoint", result.endpoint.ID),
		slog.Int("sent", x.sent), slog.String("cause", result.err.Error()))
	return false
}

// moreCertain returns which of the errors of two attempts describes both: a request that may
// have run in one of them must not be reported as not run. previous may be nil.
func moreCertain(previous, last error) error {
	if previous != nil && !call.NotRun(previous) && call.NotRun(last) {
		return previous
	}
	return last
}

// countFailure counts a failed attempt as refused or sent and records the failure
// of its endpoint.
func (x *requestRun) countFailure(result attemptResult, record crashRecord, now time.Time) {
	switch {
	case call.Is(result.err, call.ErrFull):
		x.refused++
		result.endpoint.Live.MarkFull(now.Add(4 * fullPause))
	case call.NotRun(result.err):
		x.refused++
		result.endpoint.Live.Fail(now)
	case call.Is(result.err, call.ErrMalformed):
		x.sent++
		result.endpoint.Live.Fail(now)
	case call.Is(result.err, call.ErrBroken):
		x.sent++
		result.endpoint.Live.Fail(now)
		record.countBroken()
	default:
		x.sent++
	}
}
