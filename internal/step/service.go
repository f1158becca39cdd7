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

// Times and sizes of a service.
const (
	holdTimeout     = 2 * time.Second
	releaseTimeout  = 2 * time.Second
	upkeepInterval  = time.Second
	finishedEntries = 1024
)

// Service owns steps: it generates their samples and answers trainers' calls.
// Make it with NewService.
type Service struct {
	options  Options
	metrics  *metrics
	calls    sync.WaitGroup
	draining chan struct{}
	stopped  chan struct{}
	// successor hands a step over when the service drains; nil drops it. It is
	// set before the first call.
	successor func(ctx context.Context, unit string, call *peerpb.StepCall) error

	mu       sync.Mutex
	runs     map[string]*run
	finished *lru.Cache[string, digest]
	closed   bool
}

// NewService returns a running service; Drain ends it.
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
	go s.upkeep()
	return s
}

// Owns reports whether this entry runs the unit's step.
func (s *Service) Owns(unit string) bool { return s.find(unit) != nil }

func (s *Service) find(unit string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[unit]
}

// Create takes a step in, or finds that it is known already. ErrConflict when
// it is known with another specification; ErrNotOwner when another entry holds
// it; ErrDraining when this entry is leaving.
func (s *Service) Create(ctx context.Context, req *wire.CreateRequest) (wire.CreateReply, error) {
	if err := validate(&req.Spec); err != nil {
		return wire.CreateReply{}, err
	}
	unit, content := UnitOf(req.Trainer, req.Step), digestOf(&req.Spec)
	return s.create(ctx, unit, content, req, &handOver{})
}

// create starts a step with what a former owner generated, if any.
func (s *Service) create(ctx context.Context, unit string, content digest, req *wire.CreateRequest, generated *handOver) (wire.CreateReply, error) {
	if known := s.find(unit); known != nil {
		return known.recreate(content)
	}
	if done, ok := s.finished.Get(unit); ok && req.Holds == nil {
		return wire.CreateReply{}, sameContent(unit, done, content)
	}
	tenure, err := s.hold(ctx, unit)
	if err != nil {
		return wire.CreateReply{}, err
	}
	step, err := New(req.Spec, req.Holds, s.options.Order, classObserver{s.metrics, req.Class})
	if err != nil {
		return wire.CreateReply{}, err
	}
	step.adopt(generated)
	return s.take(newRun(unit, step, tenure, req, &s.options, s.metrics))
}

// take starts a run unless another call was first.
func (s *Service) take(r *run) (wire.CreateReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.runs[r.unit]; known != nil {
		r.drop()
		return known.recreate(r.step.digest)
	}
	if s.closed {
		r.drop()
		return wire.CreateReply{}, ErrDraining.New("the entry takes no new steps")
	}
	s.runs[r.unit] = r
	s.metrics.held.Inc()
	event.StepTaken.Log(r.ctx, s.options.Logger, slog.String("step", r.unit), slog.Int64("epoch", r.epoch), slog.Int("samples", len(r.step.slots)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	return wire.CreateReply{Epoch: r.epoch}, nil
}

// recreate answers a specification that came again.
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
	return ErrConflict.New("%s is known with another specification", unit)
}

// hold confirms ownership. While the platform's service can't, or while the
// lease of a dead holder stands, the step goes on without an epoch: the
// trainer's own account keeps delivery exact, so that two owners cost at most
// double work.
func (s *Service) hold(ctx context.Context, unit string) (ownership.Tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	tenure, err := s.options.Owner.Acquire(ctx, unit)
	switch {
	case err == nil:
		return tenure, nil
	case errorx.IsOfType(err, ownership.ErrHeldElsewhere) && s.mayLive(ownership.HolderOf(err)):
		return ownership.Tenure{}, ErrNotOwner.Wrap(err, "another entry holds %s", unit).WithProperty(propHolder, ownership.HolderOf(err))
	default:
		event.StepUnleased.Log(ctx, s.options.Logger, slog.String("step", unit), slog.String("error", err.Error()))
		return ownership.Tenure{Unit: unit}, nil
	}
}

// mayLive reports whether a holder may be alive; one that is not named may.
func (s *Service) mayLive(holder string) bool {
	return holder == "" || s.options.Alive(holder)
}

// confirmTenure makes sure that the entry still owns a step; it drops the step
// when it does not.
func (s *Service) confirmTenure(ctx context.Context, r *run) error {
	r.mu.Lock()
	tenure := r.tenure
	r.mu.Unlock()
	if s.options.Owner.Valid(tenure) {
		return nil
	}
	fresh, err := s.hold(ctx, r.unit)
	if err != nil {
		s.lose(r)
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if fresh.Epoch > 0 {
		r.tenure = fresh
		r.epoch = max(r.epoch, fresh.Epoch)
	}
	return nil
}

// lose drops a step that another entry owns.
func (s *Service) lose(r *run) {
	if s.remove(r) {
		event.StepLost.Log(r.ctx, s.options.Logger, slog.String("step", r.unit))
	}
}

// remove takes a run out of the service and stops it; false when it was out.
func (s *Service) remove(r *run) bool {
	s.mu.Lock()
	present := s.runs[r.unit] == r
	if present {
		delete(s.runs, r.unit)
		s.metrics.held.Dec()
	}
	s.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop()
	r.wake()
	return present
}

// release gives a removed step's unit up.
func (s *Service) release(unit string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// A release that fails costs only the rest of the lease.
	_ = s.options.Owner.Release(ctx, unit)
}
