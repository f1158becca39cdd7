package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// maxRacers is how many attempts run side by side at most.
const maxRacers = 2

// closedGate is the owner of a race whose result counts already.
const closedGate = -1

// errSuperseded ends an attempt when another one's pieces went to the caller.
var errSuperseded = engine.ErrCanceled.New("another attempt was first")

// racers are the attempts of one race. The first attempt that has a piece for
// the caller owns the race; the pieces of others are dropped.
type racers struct {
	run     *completionRun
	results chan numbered
	owner   atomic.Int64
	pending int
	started int64
	best    attempt
}

// numbered is the result of one attempt of a race.
type numbered struct {
	attempt
	number int64
}

// race runs an attempt and, when the policy hedges the work, a second one
// elsewhere once the first has taken long. It returns the one that counts.
func (r *completionRun) race(ctx context.Context, first *endpoint.Endpoint) attempt {
	delay, hedge := r.hedgeDelay()
	if !hedge {
		return r.d.attempt(ctx, r.call, r.plan(first, r.relay))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	race := &racers{run: r, results: make(chan numbered, maxRacers)}
	defer race.owner.Store(closedGate)
	race.start(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case result := <-race.results:
			if race.decided(result) {
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
func (c *racers) start(ctx context.Context, chosen *endpoint.Endpoint) {
	c.pending++
	c.started++
	number := c.started
	r := c.run
	p := r.plan(chosen, func(piece engine.CompletionChoice) error { return c.relay(number, piece) })
	go func() {
		c.results <- numbered{attempt: r.d.attempt(ctx, r.call, p), number: number}
	}()
}

// relay hands a piece to the caller if the attempt owns the race.
func (c *racers) relay(number int64, piece engine.CompletionChoice) error {
	if c.run.completion.OnPiece == nil {
		return nil
	}
	if !c.owner.CompareAndSwap(0, number) && c.owner.Load() != number {
		return errSuperseded
	}
	return c.run.relay(piece)
}

// hedge starts a second attempt, unless the first one's pieces go to the caller
// already, nobody else can take it, or the budget is used up.
func (c *racers) hedge(ctx context.Context, first *endpoint.Endpoint) {
	r := c.run
	if c.owner.Load() != 0 {
		return
	}
	chosen, ok := r.second(ctx, first)
	if !ok {
		return
	}
	c.start(ctx, chosen)
}

// decided takes one result in and reports whether best now counts.
func (c *racers) decided(result numbered) bool {
	c.pending--
	owner := c.owner.Load()
	if c.best.endpoint == nil || owner == 0 || owner == result.number {
		c.best = result.attempt
	}
	return c.pending == 0 || result.err == nil || owner == result.number
}
