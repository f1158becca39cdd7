package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// maxParallelAttempts is the largest number of attempts that run in parallel.
const maxParallelAttempts = 2

// raceClosed is the owner value of a race that has already returned its result.
const raceClosed = -1

// errSuperseded ends an attempt when another attempt's pieces are passed to the caller.
var errSuperseded = engine.ErrCanceled.New("another attempt answered first")

// attemptRace runs parallel attempts of one completion. The first attempt that has a piece
// for the caller owns the race. Pieces of other attempts are dropped, and those attempts fail
// with errSuperseded.
type attemptRace struct {
	run     *completionRun
	results chan numberedResult
	owner   atomic.Int64
	pending int
	started int64
	best    attempt
}

// numberedResult is the result of one attempt of a race, with the number of the attempt.
type numberedResult struct {
	attempt
	number int64
}

// race runs an attempt. If the policy hedges the work, it starts a second attempt at another
// endpoint after the hedge delay. It returns the result of the winning attempt.
func (r *completionRun) race(ctx context.Context, first *endpoint.Endpoint) attempt {
	delay, hedge := r.hedgeDelay()
	if !hedge {
		return r.d.attempt(ctx, r.call, r.plan(first, r.relay))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	race := &attemptRace{run: r, results: make(chan numberedResult, maxParallelAttempts)}
	defer race.owner.Store(raceClosed)
	race.start(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case result := <-race.results:
			if race.addResult(result) {
				return race.best
			}
		case <-timer.C:
			race.hedge(ctx, first)
		}
	}
}

func (r *completionRun) hedgeDelay() (time.Duration, bool) {
	if r.progress.Tokens > 0 || !r.call.Idempotent || r.work.Exclusive {
		return 0, false
	}
	return r.d.options.Policy.Hedger.After(r.work)
}

// start runs an attempt in the background.
func (c *attemptRace) start(ctx context.Context, chosen *endpoint.Endpoint) {
	c.pending++
	c.started++
	number := c.started
	r := c.run
	p := r.plan(chosen, func(piece engine.CompletionChoice) error { return c.relay(number, piece) })
	go func() {
		c.results <- numberedResult{attempt: r.d.attempt(ctx, r.call, p), number: number}
	}()
}

// relay passes a piece to the caller if the attempt owns the race, and fails otherwise.
func (c *attemptRace) relay(number int64, piece engine.CompletionChoice) error {
	if c.run.completion.OnPiece == nil {
		return nil
	}
	if !c.owner.CompareAndSwap(0, number) && c.owner.Load() != number {
		return errSuperseded
	}
	return c.run.relay(piece)
}

// hedge starts a second attempt, unless pieces of the first one have already been passed to
// the caller, no other endpoint is eligible, or the budget is exhausted.
func (c *attemptRace) hedge(ctx context.Context, first *endpoint.Endpoint) {
	r := c.run
	if c.owner.Load() != 0 {
		return
	}
	chosen, ok := r.chooseHedge(ctx, first)
	if !ok {
		return
	}
	c.start(ctx, chosen)
}

// addResult adds the result of one attempt and reports whether best is now final.
func (c *attemptRace) addResult(result numberedResult) bool {
	c.pending--
	owner := c.owner.Load()
	if c.best.endpoint == nil || owner == 0 || owner == result.number {
		c.best = result.attempt
	}
	return c.pending == 0 || result.err == nil || owner == result.number
}
