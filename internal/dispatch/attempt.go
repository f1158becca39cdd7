package dispatch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Bounds of the timeout for the next piece of a stream, or for the answer to an
// idempotent service call.
const (
	stallFactor     = 40 // multiple of the typical time
	minStallTimeout = 3 * time.Second
	maxStallTimeout = 30 * time.Second
)

// attempt is the result of one call of a completion at one engine.
type attempt struct {
	endpoint *endpoint.Endpoint
	// progress is the progress before the attempt plus what the attempt added.
	progress Progress
	err      error
}

// plan contains the inputs of an attempt. It is computed before the attempt starts, so
// that parallel attempts share no state.
type plan struct {
	endpoint  *endpoint.Endpoint
	from      Progress
	request   engine.CompletionRequest
	expected  int64
	exclusive bool
	onPiece   func(engine.CompletionChoice) error
}

// plan returns the plan of an attempt at an endpoint that resumes from the run's progress.
func (r *completionRun) plan(chosen *endpoint.Endpoint, onPiece func(engine.CompletionChoice) error) plan {
	body := r.completion.Request
	body.Resume = r.progress.Text
	body.ResumeTokens = r.progress.Tokens
	body.Priority = r.d.options.Policy.Prioritizer.Priority(r.work, r.d.now())
	return plan{
		endpoint:  chosen,
		from:      r.progress,
		request:   body,
		expected:  int64(max(r.work.ExpectedTokens-r.progress.Tokens, 1)),
		exclusive: r.work.Exclusive,
		onPiece:   onPiece,
	}
}

// attempt executes a plan.
func (d *Dispatcher) attempt(ctx context.Context, call *Call, p plan) attempt {
	end, err := d.begin(ctx, call, p.exclusive, p.endpoint)
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
		StallTimeout: stallTimeout(time.Duration(live.TokenNanos.Load())),
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
	end(err)
	return attempt{endpoint: p.endpoint, progress: done, err: err}
}

// stallTimeout returns how long to wait for an operation with the given typical duration.
func stallTimeout(typical time.Duration) time.Duration {
	return min(max(typical*stallFactor, minStallTimeout), maxStallTimeout)
}

// errRelay means that a piece could not be delivered to the caller.
var errRelay = request.Errors.NewType("relay")
