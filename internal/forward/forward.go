// Package forward serves plain requests: it sends each to an endpoint of its
// route, repeats it where its kind allows, and tells the truth when no answer
// came.
package forward

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Times of attempts.
const (
	// hedgeShare is the share of a route's target after which a repeatable
	// request without an answer is sent to a second endpoint.
	hedgeShare = 0.45
	// fullPause is the pause before a request that all endpoints refused is
	// offered again.
	fullPause = 25 * time.Millisecond
	// extraOffers is how many refused sends are allowed beyond the route's
	// attempts: a refused request did not run.
	extraOffers = 6
)

// Service sends plain requests. It is safe for concurrent use.
type Service struct {
	Directory *fleet.Directory
	Caller    call.Caller
	Streamer  call.Streamer
	Crashes   *Crashes
	Zone      string
	Logger    *slog.Logger
}

// result is the end of one attempt.
type result struct {
	endpoint *fleet.Endpoint
	answer   *call.Answer
	err      error
}

// run is one request on its way.
type run struct {
	service *Service
	route   *route.Route
	request *call.Request
	results chan result
	tried   []string
	// waits are the endpoints that were asked and have not answered.
	waits []string
	// sent counts attempts that may have run, refused those that did not.
	sent, refused, open int
	last                error
	// failure is an endpoint's own failure, kept in case no attempt does better.
	failure *call.Answer
}

// Do returns an endpoint's whole answer, or an error that tells what is known.
// The context ends with the caller or with the time that the request has.
func (s *Service) Do(ctx context.Context, r *route.Route, request *call.Request) (*call.Answer, error) {
	fingerprint, err := s.admit(ctx, request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := &run{service: s, route: r, request: request, results: make(chan result, r.MaxAttempts+extraOffers+1)}
	return x.loop(ctx, fingerprint)
}

// admit returns the request's fingerprint, or ErrRejected when the request is held
// back since endpoints crashed.
func (s *Service) admit(ctx context.Context, request *call.Request) (uint64, error) {
	fingerprint := Fingerprint(request)
	if s.Crashes.Held(fingerprint) {
		event.RequestWithheld.Log(ctx, s.Logger, slog.String("request", request.ID))
		return 0, call.ErrRejected.New("endpoints crashed while they ran it")
	}
	return fingerprint, nil
}

func (x *run) loop(ctx context.Context, fingerprint uint64) (*call.Answer, error) {
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	x.launch(ctx)
	for {
		if x.open == 0 {
			done, err := x.again(ctx, fingerprint)
			if done {
				return x.failure, err
			}
			if x.open == 0 {
				continue // no endpoint takes it yet
			}
		}
		select {
		case <-ctx.Done():
			return nil, call.ErrEnded.Wrap(ctx.Err(), "no answer in time from %s, %d attempts before", strings.Join(x.waits, ", "), x.sent+x.refused)
		case <-hedge.C:
			if x.route.Repeatable() && x.sent+x.open < x.route.MaxAttempts {
				x.launch(ctx)
			}
		case end := <-x.results:
			x.open--
			x.waits = slices.DeleteFunc(x.waits, func(id string) bool { return id == end.endpoint.ID })
			if x.take(ctx, end, fingerprint) {
				return end.answer, nil
			}
		}
	}
}

func (x *run) hedgeAfter() time.Duration {
	if x.route.Target <= 0 {
		return time.Hour
	}
	return time.Duration(hedgeShare * float64(x.route.Target))
}

// again starts the next attempt when none is open, or reports that the request
// has ended.
func (x *run) again(ctx context.Context, fingerprint uint64) (bool, error) {
	if x.sent > 0 && !x.route.Repeatable() || x.sent >= x.route.MaxAttempts || x.refused > extraOffers {
		return true, x.end()
	}
	if x.service.Crashes.Held(fingerprint) {
		return true, x.end()
	}
	if x.launch(ctx) {
		return false, nil
	}
	// No endpoint is left: offer it again to those that refused.
	if !wait.For(ctx, fullPause) {
		return true, x.end()
	}
	x.refused++
	x.tried = nil
	x.launch(ctx)
	return false, nil
}

// end returns the error of a request that is not tried again; nil when an
// endpoint's own failure is its answer.
func (x *run) end() error {
	switch {
	case x.failure != nil:
		return nil
	case x.sent == 0 && x.last == nil:
		return call.ErrNoEndpoint.New("no endpoint of the route takes work")
	}
	return x.last
}

// launch starts an attempt at the best endpoint; false when there is none.
func (x *run) launch(ctx context.Context) bool {
	service := x.route.ServiceFor(x.request.ID)
	e, ok := fleet.Choose(x.service.Directory.Of(service), fleet.Work{Tried: x.tried, Zone: x.service.Zone}, time.Now())
	if !ok {
		return false
	}
	x.tried = append(x.tried, e.ID)
	x.waits = append(x.waits, e.ID)
	x.open++
	go func() {
		done := e.Live.Begin()
		defer done()
		answer, err := x.service.Caller.Call(ctx, e, x.request)
		x.results <- result{endpoint: e, answer: answer, err: err}
	}()
	return true
}

// take judges the end of an attempt; true when it is the request's answer.
func (x *run) take(ctx context.Context, end result, fingerprint uint64) bool {
	now := time.Now()
	if end.err == nil && end.answer.Stamp == "" {
		end.err = call.ErrForeign.New("answer without a signature, status %d", end.answer.Status)
	}
	if end.err == nil {
		x.sent++
		end.endpoint.Live.Succeed()
		if end.answer.Status < 500 || x.request.FailureCounts || !x.route.Repeatable() || x.sent >= x.route.MaxAttempts && x.open == 0 {
			return true
		}
		x.failure = end.answer
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	x.last = end.err
	x.judge(end, fingerprint, now)
	event.AttemptFailed.Log(ctx, x.service.Logger, slog.String("request", x.request.ID), slog.String("endpoint", end.endpoint.ID),
		slog.Int("sent", x.sent), slog.String("cause", end.err.Error()))
	return false
}

func (x *run) judge(end result, fingerprint uint64, now time.Time) {
	switch {
	case call.Is(end.err, call.ErrFull):
		x.refused++
		end.endpoint.Live.Full(now.Add(4 * fullPause))
	case call.NotRun(end.err):
		x.refused++
		end.endpoint.Live.Fail(now)
	case call.Is(end.err, call.ErrBroken):
		x.sent++
		end.endpoint.Live.Fail(now)
		x.service.Crashes.Broke(fingerprint)
	default:
		x.sent++
	}
}
