package forward

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// stallFactor is how long a resumable stream may go without an event, as a multiple
// of the route's target latency, before it is resumed at another endpoint.
const stallFactor = 2

// Stream passes the events of a request to receiver as they arrive. Where the route
// allows it, a broken stream is resumed at another endpoint after the last event;
// the caller sees one answer, with the head from the first endpoint. The result
// started reports whether anything was passed to receiver.
func (s *Service) Stream(ctx context.Context, r *route.Route, request *call.Request, after int, receiver call.Receiver) (started bool, err error) {
	record, err := s.admit(ctx, r, request)
	if err != nil {
		return false, err
	}
	receiver = s.reportFirstEvent(request, after, receiver)
	var tried []string
	sent, refused := 0, 0
	service := r.ServiceFor(request.ID)
	for {
		e, ok := fleet.Choose(s.Directory.Of(service), fleet.Work{Tried: tried, Zone: s.Zone}, time.Now())
		if !ok && refused > 0 && refused <= maxRefusedSends && ctx.Err() == nil {
			tried = nil
			refused++
			wait.For(ctx, fullPause)
			continue
		}
		if !ok {
			return started, errorOr(err, call.ErrNoEndpoint.New("no endpoint of the route accepts work"))
		}
		tried = append(tried, e.ID)
		failure := s.streamOnce(ctx, r, e, request, &after, &started, receiver)
		if failure == nil {
			e.Live.Succeed()
			record.clear()
			return started, nil
		}
		event.AttemptFailed.Log(ctx, s.Logger, slog.String("request", request.ID), slog.String("endpoint", e.ID), slog.String("cause", failure.Error()))
		if call.NotRun(failure) {
			refused++
		} else {
			sent++
		}
		s.recordFailure(e, failure, record, started)
		err = moreCertain(err, failure)
		if ctx.Err() != nil || sent > 0 && !r.Resumable || sent >= r.MaxAttempts || refused > maxRefusedSends {
			return started, err
		}
	}
}

// reportFirstEvent returns a receiver that reports the request at its first event. A stream that the
// caller resumes was reported before.
func (s *Service) reportFirstEvent(request *call.Request, after int, receiver call.Receiver) call.Receiver {
	reported := after > 0
	return call.Receiver{Start: receiver.Start, Event: func(e call.Event) error {
		if !reported {
			reported = true
			s.reportBegin(request, 0)
		}
		return receiver.Event(e)
	}}
}

// errorOr returns err, or fallback if err is nil.
func errorOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// recordFailure records a failed attempt for its endpoint. If the connection broke
// before the stream started, it also counts the attempt against the request.
func (s *Service) recordFailure(e *fleet.Endpoint, err error, record crashRecord, started bool) {
	now := time.Now()
	switch {
	case call.Is(err, call.ErrFull):
		e.Live.MarkFull(now.Add(4 * fullPause))
	case call.Is(err, call.ErrBroken, call.ErrMalformed, call.ErrNotSent, call.ErrMisdirected):
		e.Live.Fail(now)
		if call.Is(err, call.ErrBroken) && !started {
			record.countBroken()
		}
	}
}

// streamOnce makes one attempt. It updates after and started as the stream
// progresses.
func (s *Service) streamOnce(ctx context.Context, r *route.Route, e *fleet.Endpoint, request *call.Request, after *int, started *bool, receiver call.Receiver) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := e.Live.Begin()
	defer done()
	resetStallTimer := func() {}
	if r.Resumable && r.Target > 0 {
		timer := time.AfterFunc(stallFactor*r.Target, cancel)
		defer timer.Stop()
		resetStallTimer = func() { timer.Reset(stallFactor * r.Target) }
	}
	return s.Streamer.Stream(ctx, e, request, *after, call.Receiver{
		Start: func(start call.Start) error {
			if *started {
				return nil
			}
			*started = true
			return receiver.Start(start)
		},
		Event: func(event call.Event) error {
			resetStallTimer()
			if err := receiver.Event(event); err != nil {
				return err
			}
			*after = event.ID
			return nil
		},
	})
}
