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

// Reasons for a call to an endpoint, as in the metrics.
const (
	reasonFirst  = "first"
	reasonRetry  = "retry"
	reasonResume = "resume"
	reasonHedge  = "hedge"
)

// Pauses before further attempts; each is twice the one before.
const (
	defaultRetryPause = 10 * time.Millisecond
	maxPause          = 500 * time.Millisecond
	maxDoublings      = 10
)

// Completion is one completion to run.
type Completion struct {
	Call
	Request engine.CompletionRequest
	// Resume is what was generated already.
	Resume Progress
	// OnPiece receives the pieces in order as they come. Nil when only the
	// whole answer counts; then pieces may be dropped and generated again.
	OnPiece func(engine.CompletionChoice) error
	// MinDeliverable returns the lowest weight version that may be delivered now. Nil
	// is no bound but MinVersion.
	MinDeliverable func() int64
}

// Effort is what it took to run a request, and the weights of its answer.
type Effort struct {
	Attempts, Hedges int
	Weights          Weights
}

// completionRun is the state of one completion while it runs.
type completionRun struct {
	run
	completion *Completion
	progress   Progress
	// relayed: the caller has a part of the answer.
	relayed bool
}

// Complete runs a completion. It returns the whole answer, or an error of the
// request layer that tells the outcome.
func (d *Dispatcher) Complete(ctx context.Context, completion *Completion) (Progress, Effort, error) {
	run := d.newCompletionRun(completion)
	leave, err := d.admit(ctx, run.call, run.work)
	if err != nil {
		return Progress{}, Effort{}, err
	}
	defer leave()
	err = run.loop(ctx)
	effort := Effort{Attempts: run.attempts, Hedges: run.hedges}
	if err != nil {
		return run.progress, effort, final(err, run.ran)
	}
	d.lengths.Observe(run.work, run.progress.Tokens)
	effort.Weights = d.weightsOf(completion.Request.Model, &run.progress)
	if effort.Weights.Known {
		d.options.Metrics.Stale(completion.Class.Name, completion.Tenant, effort.Weights.Behind)
	}
	return run.progress, effort, nil
}

// admit waits until the work may start.
func (d *Dispatcher) admit(ctx context.Context, call *Call, work *policy.Work) (func(), error) {
	if _, err := d.options.Suspects.Check(call.Fingerprint); err != nil {
		return nil, err
	}
	leave, err := d.options.Policy.Admission.Enter(ctx, work)
	if err != nil {
		return nil, fromQueue(err)
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

// loop makes attempts until one is whole or no other may follow.
func (r *completionRun) loop(ctx context.Context) error {
	reason := reasonFirst
	for {
		r.dropTooOld()
		chosen, err := r.begin(ctx, reason)
		if err != nil {
			return err
		}
		started := r.d.now()
		result := r.race(ctx, chosen)
		if held, err := r.heldBack(ctx, result.err); err != nil {
			return err
		} else if held {
			continue
		}
		r.take(result)
		if result.err == nil && !r.progress.tooOld(r.minVersion()) {
			r.d.options.Policy.Hedger.Observe(r.work, r.d.now().Sub(started))
			return nil
		}
		if err := r.mayGoOn(ctx, result); err != nil {
			return err
		}
		reason = r.nextReason()
	}
}

// take keeps what an attempt brought.
func (r *completionRun) take(result attempt) {
	r.progress = result.progress
	if verdictOf(result.err).ran() {
		r.ran = true
	}
	if result.err != nil {
		r.work.Excluded = append(r.work.Excluded, result.endpoint.ID)
	}
}

// mayGoOn returns nil when another attempt may be made, after a pause.
func (r *completionRun) mayGoOn(ctx context.Context, result attempt) error {
	err := result.err
	if err == nil {
		err = engine.ErrFailed.New("the answer was of a weight version that is too old")
	}
	v := verdictOf(err)
	switch {
	case ctx.Err() != nil, v == verdictRejected, errorx.IsOfType(err, errRelay), errorx.IsOfType(err, request.ErrSuspect):
		return err
	case v.ran() && !r.call.Idempotent:
		return err
	case r.relayed && (r.progress.FinishReason != "" || r.progress.tooOld(r.minVersion())):
		return err // what the caller has can neither be gone on from nor taken back
	}
	return r.retry(ctx, result.endpoint.ID, err)
}

func (d *Dispatcher) pauseAfter(attempts int) time.Duration {
	pause := d.options.RetryPause << min(attempts-1, maxDoublings)
	return min(pause, maxPause)
}

func (r *completionRun) nextReason() string {
	if r.progress.Tokens > 0 {
		return reasonResume
	}
	return reasonRetry
}

// dropTooOld forgets progress that could not be delivered any more, unless the
// caller has a part of it.
func (r *completionRun) dropTooOld() {
	r.work.MinVersion = r.minVersion()
	if r.relayed {
		return
	}
	if r.progress.FinishReason != "" || r.progress.tooOld(r.minVersion()) {
		r.progress = Progress{}
	}
}

func (r *completionRun) minVersion() int64 {
	if r.completion.MinDeliverable == nil {
		return r.call.MinVersion
	}
	return max(r.call.MinVersion, r.completion.MinDeliverable())
}

// relay hands a piece to the caller.
func (r *completionRun) relay(piece engine.CompletionChoice) error {
	if r.completion.OnPiece == nil {
		return nil
	}
	if piece.Tokens > 0 && piece.WeightVersion < r.minVersion() {
		return engine.ErrFailed.New("weight version %d is too old", piece.WeightVersion)
	}
	r.relayed = true
	if err := r.completion.OnPiece(piece); err != nil {
		return errRelay.Wrap(err, "the caller is gone")
	}
	return nil
}

// prefixLength is the leading part of a prompt that is likely shared, in bytes.
const prefixLength = 256

func prefixOf(prompt string) uint64 {
	if len(prompt) < prefixLength {
		return 0
	}
	return xxhash.Sum64String(prompt[:prefixLength])
}
