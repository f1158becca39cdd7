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
	unit     string
	made     time.Time // when the trainer made the step
	deadline time.Time
	options  *Options
	metrics  *metrics
	ctx      context.Context // ends when the step is dropped
	drop     context.CancelFunc
	work     sync.WaitGroup

	mu      sync.Mutex
	step    *Step
	tenure  ownership.Tenure
	epoch   int64 // of replies; the tenure's, or what the trainer saw while there is none
	running int   // goroutines that generate
	pulled  time.Time
	// finished is when a sample was finished last, at first when the run began.
	finished time.Time
	idle     bool
	// changed is closed and replaced when a waiting pull should look again.
	changed chan struct{}
	// ended is closed when the pull in flight was replaced by another.
	ended chan struct{}
}

func newRun(unit string, step *Step, tenure ownership.Tenure, req *wire.CreateRequest, options *Options, m *metrics) *run {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	within := options.DefaultDeadline
	if req.DeadlineMillis > 0 {
		within = time.Duration(req.DeadlineMillis) * time.Millisecond
	}
	made := now.Add(-time.Duration(req.AgeMillis) * time.Millisecond)
	return &run{
		unit: unit, made: made, deadline: made.Add(within), options: options, metrics: m,
		ctx: ctx, drop: cancel, step: step, tenure: tenure, epoch: max(req.Epoch, tenure.Epoch),
		pulled: now, finished: now, changed: make(chan struct{}), ended: make(chan struct{}),
	}
}

// wake lets waiting pulls look again. The caller holds mu.
func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// launch starts waiting samples while there is room for them and for what is
// ready. The caller holds mu.
func (r *run) launch() {
	if r.idle || r.ctx.Err() != nil {
		return
	}
	for r.running < r.options.Concurrency && r.step.readyText <= r.options.MaxReadyBytes {
		ctx, cancel := context.WithCancel(r.ctx)
		started, ok := r.step.next(cancel)
		if !ok {
			cancel()
			return
		}
		r.running++
		r.work.Add(1)
		go r.generate(ctx, cancel, started)
	}
}

// generate runs one started sample and takes its result in.
func (r *run) generate(ctx context.Context, cancel context.CancelFunc, started start) {
	defer r.work.Done()
	defer cancel()
	started.request.Deadline = r.deadline
	started.request.Progress = func(piece Piece) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.step.progress(started.at, started.attempt, piece, time.Now())
	}
	generation, err := r.options.Generator.Generate(ctx, started.request)
	retry := err != nil && !final(err) && ctx.Err() == nil
	if retry {
		r.metrics.retries.WithLabelValues(started.request.Class).Inc()
		event.SampleRetried.Log(ctx, r.options.Logger, slog.String("step", r.unit), slog.String("error", err.Error()))
		r.pause(ctx, backoff(started.attempt, err))
	}
	r.settle(started, generation, err)
}

// settle takes the result of an attempt in and starts the next samples.
func (r *run) settle(started start, generation Generation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	switch {
	case err == nil:
		r.finished = time.Now()
		r.step.finish(started.at, started.attempt, generation, r.finished)
	case final(err):
		event.SampleRefused.Log(r.ctx, r.options.Logger, slog.String("step", r.unit), slog.String("error", err.Error()))
		r.step.refuse(started.at, started.attempt, err.Error())
	default:
		r.step.fail(started.at, started.attempt)
	}
	r.wake()
	r.launch()
}

// hopeless reports whether the step's deadline has passed and no sample was
// finished for long: a step that still gets on is late rather than lost. The
// caller holds mu.
func (r *run) hopeless() bool {
	now := time.Now()
	return now.After(r.deadline) && now.Sub(r.finished) >= r.options.GiveUpAfter
}

// pause waits, or returns when ctx ends.
func (r *run) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// advance tells the step the newest version known. The caller holds mu.
func (r *run) advance() {
	r.step.Advance(r.options.Newest(r.step.spec.Model))
	r.launch()
}

// final reports whether an error blames the request itself.
func final(err error) bool {
	return errorx.IsOfType(err, request.ErrInvalid) || errorx.IsOfType(err, request.ErrSuspect)
}
