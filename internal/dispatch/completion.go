package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Reasons for a call to an endpoint, as used in the metrics.
const (
	reasonFirst  = "first"
	reasonRetry  = "retry"
	reasonResume = "resume"
	reasonHedge  = "hedge"
)

// Backoff before retries. It doubles with each attempt, up to maxRetryBackoff.
const (
	defaultRetryBackoff = 10 * time.Millisecond
	maxRetryBackoff     = 500 * time.Millisecond
	maxDoublings        = 10
)

// Completion describes one completion to run.
type Completion struct {
	Call
	Request engine.CompletionRequest
	// Resume is the progress that has already been generated.
	Resume Progress
	// OnPiece receives the pieces in order as they arrive. It is nil if the caller needs
	// only the complete answer; then pieces may be dropped and regenerated.
	OnPiece func(engine.CompletionChoice) error
	// MinDeliverable returns the lowest weight version that may be delivered now. If it is
	// nil, MinVersion is the only bound.
	MinDeliverable func() int64
}

// Effort counts the calls made to run a request and describes the weights of its answer.
type Effort struct {
	Attempts, Hedges int
	Weights          Weights
	// Unusable means that the pieces that were passed on are not part of an answer.
	Unusable bool
}

// completionRun is the state of one completion while it runs.
type completionRun struct {
	run
	completion *Completion
	progress   Progress
	// relayed is set once a part of the answer has been passed to the caller.
	relayed bool
	// unusable is set if the caller has pieces of a text that goes on beyond its end.
	unusable bool
}

// Complete runs a completion. It returns the complete answer, or an error of the request
// layer that states the outcome.
func (d *Dispatcher) Complete(ctx context.Context, completion *Completion) (Progress, Effort, error) {
	run := d.newCompletionRun(completion)
	leave, err := d.admit(ctx, run.call, run.work)
	if err != nil {
		return Progress{}, Effort{}, err
	}
	defer leave()
	err = run.loop(ctx)
	effort := Effort{Attempts: run.attempts, Hedges: run.hedges, Unusable: run.unusable}
	if err != nil {
		return run.progress, effort, finalError(err, run.mayHaveRun)
	}
	d.lengths.Observe(run.work, run.progress.Tokens)
	effort.Weights = d.weightsOf(completion.Request.Model, &run.progress)
	if effort.Weights.Known {
		d.options.Metrics.Stale(completion.Class.Name, completion.Tenant, effort.Weights.Behind)
	}
	return run.progress, effort, nil
}

// admit waits until the work may start. The caller must call the returned function when
// the work has ended.
func (d *Dispatcher) admit(ctx context.Context, call *Call, work *policy.Work) (func(), error) {
	if _, err := d.options.Suspects.Check(call.Fingerprint); err != nil {
		return nil, err
	}
	leave, err := d.options.Policy.Admission.Enter(ctx, work)
	if err != nil {
		return nil, fromQueueError(err)
	}
	d.options.Policy.Retrier.RecordRequest()
	d.options.Metrics.Waited(call.Class.Name, call.Tenant, d.now().Sub(call.Arrived))
	return leave, nil
}

func (d *Dispatcher) newCompletionRun(completion *Completion) *completionRun {
	work := d.newWork(&completion.Call, endpoint.Engine, completion.Request.Model)
	work.ExpectedTokens = d.lengths.Expect(work, completion.Request.MaxTokens)
	work.Prefix = prefixOf(completion.Request.Prompt)
	return &completionRun{run: run{d: d, call: &completion.Call, work: work}, completion: completion, progress: completion.Resume}
}

// loop makes attempts until one succeeds or no further attempt is allowed.
func (r *completionRun) loop(ctx context.Context) error {
	reason := reasonFirst
	for {
		r.discardStale()
		chosen, err := r.begin(ctx, reason)
		if err != nil {
			return err
		}
		started := r.d.now()
		result := r.race(ctx, chosen)
		if deferred, err := r.handleDeferred(ctx, result.err); err != nil {
			return err
		} else if deferred {
			continue
		}
		r.recordResult(result)
		if result.err == nil && !r.progress.olderThan(r.minVersion()) {
			r.d.options.Policy.Hedger.Observe(r.work, r.d.now().Sub(started))
			return nil
		}
		if err := r.prepareRetry(ctx, result); err != nil {
			return err
		}
		reason = r.nextReason()
	}
}

// recordResult updates the run with the result of an attempt.
func (r *completionRun) recordResult(result attempt) {
	r.progress = result.progress
	if errorx.IsOfType(result.err, engine.ErrOverlong) {
		r.progress = Progress{} // it is unknown which of the pieces are good
		r.unusable = r.relayed
	}
	if outcomeOf(result.err).mayHaveRun() {
		r.mayHaveRun = true
	}
	if result.err != nil {
		r.work.Excluded = append(r.work.Excluded, result.endpoint.ID)
	}
}

// prepareRetry waits for the backoff and returns nil if another attempt may be made, or
// returns the final error otherwise.
func (r *completionRun) prepareRetry(ctx context.Context, result attempt) error {
	err := result.err
	if err == nil {
		err = engine.ErrFailed.New("the answer was generated by a weight version that is too old")
	}
	outcome := outcomeOf(err)
	switch {
	case ctx.Err() != nil, outcome == outcomeRejected, errorx.IsOfType(err, errRelay), errorx.IsOfType(err, request.ErrSuspect):
		return err
	case outcome.mayHaveRun() && !r.call.Idempotent:
		return err
	case r.unusable:
		return err
	case r.relayed && (r.progress.FinishReason != "" || r.progress.olderThan(r.minVersion())):
		return err // the pieces that the caller has can neither be continued nor withdrawn
	}
	return r.retry(ctx, result.endpoint.ID, err)
}

func (d *Dispatcher) backoffAfter(attempts int) time.Duration {
	backoff := d.options.RetryBackoff << min(attempts-1, maxDoublings)
	return min(backoff, maxRetryBackoff)
}

func (r *completionRun) nextReason() string {
	if r.progress.Tokens > 0 {
		return reasonResume
	}
	return reasonRetry
}

// discardStale discards progress that may no longer be delivered, and progress that already
// has a finish reason and so cannot be resumed. It keeps progress that was partly delivered
// to the caller.
func (r *completionRun) discardStale() {
	r.work.MinVersion = r.minVersion()
	if r.relayed {
		return
	}
	if r.progress.FinishReason != "" || r.progress.olderThan(r.minVersion()) {
		r.progress = Progress{}
	}
}

func (r *completionRun) minVersion() int64 {
	if r.completion.MinDeliverable == nil {
		return r.call.MinVersion
	}
	return max(r.call.MinVersion, r.completion.MinDeliverable())
}

// relay passes a piece to the caller.
func (r *completionRun) relay(piece engine.CompletionChoice) error {
	if r.completion.OnPiece == nil {
		return nil
	}
	if piece.Tokens > 0 && piece.WeightVersion < r.minVersion() {
		return engine.ErrFailed.New("weight version %d is too old", piece.WeightVersion)
	}
	r.relayed = true
	if err := r.completion.OnPiece(piece); err != nil {
		return errRelay.Wrap(err, "the caller disconnected")
	}
	return nil
}

// prefixLength is the length in bytes of the leading part of a prompt that is likely to be
// shared with other prompts.
const prefixLength = 256

func prefixOf(prompt string) uint64 {
	if len(prompt) < prefixLength {
		return 0
	}
	return xxhash.Sum64String(prompt[:prefixLength])
}
