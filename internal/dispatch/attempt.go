package dispatch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Bounds of the wait for the next piece of a stream, or for the answer to a call
// of a service that may be repeated.
const (
	stallFactor     = 40 // times the usual time
	minStallTimeout = 3 * time.Second
	maxStallTimeout = 30 * time.Second
)

// attempt is one call of a completion at one engine.
type attempt struct {
	endpoint *endpoint.Endpoint
	// progress is what there was before and what the attempt added.
	progress Progress
	err      error
}

// plan is what an attempt is made from. It is fixed before the attempt starts,
// so that attempts that run side by side share nothing.
type plan struct {
	endpoint *endpoint.Endpoint
	from     Progress
	request  engine.CompletionRequest
	expected int64
	alone    bool
	onPiece  func(engine.CompletionChoice) error
}

// plan fixes an attempt at an endpoint that goes on from the run's progress.
func (r *completionRun) plan(chosen *endpoint.Endpoint, onPiece func(engine.CompletionChoice) error) plan {
	body := r.completion.Request
	body.Resume = r.progress.Text
	body.ResumeTokens = r.progress.Tokens
	body.Priority = r.d.options.Policy.Prioritizer.Priority(r.work, r.d.now())
	return plan{
		endpoint: chosen,
		from:     r.progress,
		request:  body,
		expected: int64(max(r.work.ExpectedTokens-r.progress.Tokens, 1)),
		alone:    r.work.Exclusive,
		onPiece:  onPiece,
	}
}

// attempt carries a plan out.
func (d *Dispatcher) attempt(ctx context.Context, call *Call, p plan) attempt {
	ended, err := d.begin(ctx, call, p.alone, p.endpoint)
	if err != nil {
		return attempt{endpoint: p.endpoint, progress: p.from, err: err}
	}
	collected := newBuilder(p.from)
	live := p.endpoint.Live
	live.InFlight.Add(1)
	live.InFlightTokens.Add(p.expected)
	started := d.now()
	err = d.options.Engines.Complete(ctx, engine.Call{
		Address:      p.endpoint.Address,
		RequestID:    NewID(),
		Request:      p.request,
		StallTimeout: stallAfter(time.Duration(live.TokenNanos.Load())),
		OnPiece: func(piece engine.CompletionChoice) error {
			if err := p.onPiece(piece); err != nil {
				return err
			}
			collected.add(piece)
			return nil
		},
	})
	live.InFlightTokens.Add(-p.expected)
	live.InFlight.Add(-1)
	done := collected.progress()
	live.ObserveTokens(done.Tokens-p.from.Tokens, d.now().Sub(started))
	if !errorx.IsOfType(err, errRelay) {
		d.observe(p.endpoint, err)
	}
	ended(err)
	return attempt{endpoint: p.endpoint, progress: done, err: err}
}

// stallAfter returns how long to wait for what usually takes so long.
func stallAfter(usual time.Duration) time.Duration {
	return min(max(usual*stallFactor, minStallTimeout), maxStallTimeout)
}

// errRelay: the caller could not take a piece.
var errRelay = request.Errors.NewType("relay")
