package step

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// run drives the samples of one step that this entry owns.
type run struct {
	unit        string
	created     time.Time // when the trainer created the step
	deadline    time.Time
	options     *Options
	metrics     *metrics
	ctx         context.Context // ends when the step is dropped
	stop        context.CancelFunc
	generations sync.WaitGroup

	mu     sync.Mutex
	step   *Step
	tenure ownership.Tenure
	// epoch is sent in replies: the tenure's epoch, or the trainer's while there is
	// no tenure.
	epoch      int64
	running    int // number of generate goroutines
	lastPulled time.Time
	// lastFinished is when the last sample finished, or when the run began.
	lastFinished time.Time
	idle         bool
	// changed is closed and replaced when a waiting pull should check again.
	changed chan struct{}
	// superseded is closed and replaced when a new pull ends the pull in flight.
	superseded chan struct{}
}

func newRun(unit string, step *Step, tenure ownership.Tenure, req *wire.CreateRequest, options *Options, m *metrics) *run {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	timeLimit := options.DefaultDeadline
	if req.DeadlineMillis > 0 {
		timeLimit = time.Duration(req.DeadlineMillis) * time.Millisecond
	}
	created := now.Add(-time.Duration(req.AgeMillis) * time.Millisecond)
	return &run{
		unit: unit, created: created, deadline: created.Add(timeLimit), options: options, metrics: m,
		ctx: ctx, stop: cancel, step: step, tenure: tenure, epoch: max(req.Epoch, tenure.Epoch),
		lastPulled: now, lastFinished: now, changed: make(chan struct{}), superseded: make(chan struct{}),
	}
}

// wakePulls makes waiting pulls check again. The caller holds mu.
func (r *run) wakePulls() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// startSamples starts waiting samples until the concurrency limit or the limit of
// ready text is reached. The caller holds mu.
func (r *run) startSamples() {
	if r.idle || r.ctx.Err() != nil {
		return
	}
	for r.running < r.options.Concurrency && r.step.readyBytes <= r.options.MaxReadyBytes {
		ctx, cancel := context.WithCancel(r.ctx)
		started, ok := r.step.startNext(cancel)
		if !ok {
			cancel()
			return
		}
		r.running++
		r.generations.Add(1)
		go r.generate(ctx, cancel, started)
	}
}

// generate runs one attempt at a sample and records its result. After a failure that
// is not final it waits before the sample is queued again.
func (r *run) generate(ctx context.Context, cancel context.CancelFunc, started startedSample) {
	defer r.generations.Done()
	defer cancel()
	started.request.Deadline = r.deadline
	started.request.Progress = func(piece Piece) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.step.progress(started.pos, started.attempt, piece, time.Now())
	}
	generation, err := r.options.Generator.Generate(ctx, started.request)
	retry := err != nil && !isFinal(err) && ctx.Err() == nil
	if retry {
		r.metrics.retries.WithLabelValues(started.request.Class).Inc()
		event.SampleRetried.Log(ctx, r.options.Logger, slog.String("step", r.unit), slog.String("error", err.Error()))
		r.pause(ctx, backoff(started.attempt, err))
	}
	r.recordResult(started, generation, err)
}

// recordResult records the result of an attempt and starts further samples.
func (r *run) recordResult(started startedSample, generation Generation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	switch {
	case err == nil:
		r.lastFinished = time.Now()
		r.step.finish(started.pos, started.attempt, generation, r.lastFinished)
	case isFinal(err):
		event.SampleRefused.Log(r.ctx, r.options.Logger, slog.String("step", r.unit), slog.String("error", err.Error()))
		r.step.refuse(started.pos, started.attempt, err.Error())
	case errorx.IsOfType(err, ErrUnusable):
		r.step.restart(started.pos, started.attempt)
	default:
		r.step.requeue(started.pos, started.attempt)
	}
	r.wakePulls()
	r.startSamples()
}

// stalledPastDeadline reports whether the step's deadline has passed and no sample
// has finished for StallTimeout. A step that still makes progress may finish late.
// The caller holds mu.
func (r *run) stalledPastDeadline() bool {
	now := time.Now()
	return now.After(r.deadline) && now.Sub(r.lastFinished) >= r.options.StallTimeout
}

// pause returns after wait or when ctx ends.
func (r *run) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// advance passes the newest known weight version to the step and starts samples. The
// caller holds mu.
func (r *run) advance() {
	r.step.Advance(r.options.Newest(r.step.spec.Model))
	r.startSamples()
}

// isFinal reports whether an error is caused by the request itself, so that a retry
// would fail too.
func isFinal(err error) bool {
	return errorx.IsOfType(err, request.ErrInvalid) || errorx.IsOfType(err, request.ErrSuspect)
}
