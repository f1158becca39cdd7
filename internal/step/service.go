package step

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Time limits and sizes of a Service.
const (
	acquireTimeout      = 2 * time.Second
	releaseTimeout      = 2 * time.Second
	maintenanceInterval = time.Second
	// finishedEntries is the number of finished steps whose digests are cached.
	finishedEntries = 1024
)

// Service owns steps: it generates their samples and handles trainers' calls. Use
// NewService to create one.
type Service struct {
	options  Options
	metrics  *metrics
	calls    sync.WaitGroup
	draining chan struct{}
	stopped  chan struct{}
	// successor hands a step over when the service drains; if nil, the step is
	// dropped. It is set before the first call.
	successor func(ctx context.Context, unit string, call *peerpb.StepCall) error

	mu   sync.Mutex
	runs map[string]*run
	// finished holds the digests of steps that were completed or cancelled.
	finished *lru.Cache[string, digest]
	closed   bool
}

// NewService starts and returns a Service; Drain stops it.
func NewService(options Options) *Service {
	finished, err := lru.New[string, digest](finishedEntries)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	options = options.withDefaults()
	s := &Service{
		options: options, metrics: newMetrics(options.Registerer),
		draining: make(chan struct{}), stopped: make(chan struct{}),
		runs: map[string]*run{}, finished: finished,
	}
	go s.maintainRuns()
	return s
}

// Owns reports whether this entry runs the unit's step.
func (s *Service) Owns(unit string) bool { return s.find(unit) != nil }

func (s *Service) find(unit string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[unit]
}

// Create starts a step unless it already exists. It fails with ErrConflict if the
// step exists with a different specification, with ErrNotOwner if another entry
// holds it, and with ErrDraining if this entry is leaving.
func (s *Service) Create(ctx context.Context, req *wire.CreateRequest) (wire.CreateReply, error) {
	if err := validate(&req.Spec); err != nil {
		return wire.CreateReply{}, err
	}
	unit, content := UnitOf(req.Trainer, req.Step), digestOf(&req.Spec)
	return s.create(ctx, unit, content, req, &handOver{})
}

// create starts a step with the samples that a previous owner generated, if any.
func (s *Service) create(ctx context.Context, unit string, content digest, req *wire.CreateRequest, generated *handOver) (wire.CreateReply, error) {
	if existing := s.find(unit); existing != nil {
		return existing.recreate(content)
	}
	if knownDigest, ok := s.finished.Get(unit); ok && req.Holds == nil {
		return wire.CreateReply{}, sameContent(unit, knownDigest, content)
	}
	tenure, err := s.acquire(ctx, unit)
	if err != nil {
		return wire.CreateReply{}, err
	}
	step, err := New(req.Spec, req.Holds, s.options.Order, classObserver{s.metrics, req.Class})
	if err != nil {
		return wire.CreateReply{}, err
	}
	step.adopt(generated)
	return s.startRun(newRun(unit, step, tenure, req, &s.options, s.metrics))
}

// startRun starts a run unless another call has already started one for the unit.
func (s *Service) startRun(r *run) (wire.CreateReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.runs[r.unit]; existing != nil {
		r.stop()
		return existing.recreate(r.step.digest)
	}
	if s.closed {
		r.stop()
		return wire.CreateReply{}, ErrDraining.New("the entry accepts no new steps")
	}
	s.runs[r.unit] = r
	s.metrics.owned.Inc()
	event.StepAcquired.Log(r.ctx, s.options.Logger, slog.String("step", r.unit), slog.Int64("epoch", r.epoch), slog.Int("samples", len(r.step.slots)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	return wire.CreateReply{Epoch: r.epoch}, nil
}

// recreate handles a repeated create call for an existing run.
func (r *run) recreate(content digest) (wire.CreateReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := sameContent(r.unit, r.step.digest, content); err != nil {
		return wire.CreateReply{}, err
	}
	return wire.CreateReply{Epoch: r.epoch}, nil
}

func sameContent(unit string, known, content digest) error {
	if known == content {
		return nil
	}
	return ErrConflict.New("%s exists with another specification", unit)
}

// acquire obtains or confirms the ownership of a unit. If the key-value service is
// unavailable, or the lease of a dead holder has not expired yet, the returned
// tenure has no epoch and the step continues without a lease. This is safe because
// the trainer's own record of what it holds keeps delivery exact: two owners cost at
// most duplicate work.
func (s *Service) acquire(ctx context.Context, unit string) (ownership.Tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	tenure, err := s.options.Owner.Acquire(ctx, unit)
	switch {
	case err == nil:
		return tenure, nil
	case errorx.IsOfType(err, ownership.ErrHeldElsewhere) && s.mayBeAlive(ownership.HolderOf(err)):
		return ownership.Tenure{}, ErrNotOwner.Wrap(err, "another entry holds %s", unit).WithProperty(propHolder, ownership.HolderOf(err))
	default:
		event.StepUnleased.Log(ctx, s.options.Logger, slog.String("step", unit), slog.String("error", err.Error()))
		return ownership.Tenure{Unit: unit}, nil
	}
}

// mayBeAlive reports whether a holder may be alive. It returns true for an unknown holder.
func (s *Service) mayBeAlive(holder string) bool {
	return holder == "" || s.options.Alive(holder)
}

// confirmTenure confirms that this entry still owns a step and drops the step if it
// does not.
func (s *Service) confirmTenure(ctx context.Context, r *run) error {
	r.mu.Lock()
	tenure := r.tenure
	r.mu.Unlock()
	if s.options.Owner.Valid(tenure) {
		return nil
	}
	renewed, err := s.acquire(ctx, r.unit)
	if err != nil {
		s.dropLost(r)
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if renewed.Epoch > 0 {
		r.tenure = renewed
		r.epoch = max(r.epoch, renewed.Epoch)
	}
	return nil
}

// dropLost drops a step that another entry owns.
func (s *Service) dropLost(r *run) {
	if s.remove(r) {
		event.StepLost.Log(r.ctx, s.options.Logger, slog.String("step", r.unit))
	}
}

// remove removes a run from the service and stops it. It returns false if the run had
// already been removed.
func (s *Service) remove(r *run) bool {
	s.mu.Lock()
	present := s.runs[r.unit] == r
	if present {
		delete(s.runs, r.unit)
		s.metrics.owned.Dec()
	}
	s.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
	r.wakePulls()
	return present
}

// release releases the unit of a removed step.
func (s *Service) release(unit string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// After a failed release the unit stays leased only until the lease expires.
	_ = s.options.Owner.Release(ctx, unit)
}
