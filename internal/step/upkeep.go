package step

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Confirm takes what the trainer holds; a step that is whole is forgotten.
func (s *Service) Confirm(ctx context.Context, unit string, req *wire.ConfirmRequest) (wire.Progress, error) {
	r, err := s.owned(ctx, unit, req.Epoch)
	if err != nil {
		return wire.Progress{}, err
	}
	progress, err := r.confirm(req.Holds)
	if err == nil && progress.Complete && s.remove(r) {
		event.StepComplete.Log(ctx, s.options.Logger, slog.String("step", unit), slog.Int64("discarded", progress.Discarded))
		s.finished.Add(unit, r.step.digest)
		s.release(unit)
	}
	return progress, err
}

func (r *run) confirm(holds wire.Holdings) (wire.Progress, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.step.Hold(holds); err != nil {
		return wire.Progress{}, err
	}
	r.launch()
	return r.progress(), nil
}

// progress counts the step's samples. The caller holds mu.
func (r *run) progress() wire.Progress {
	progress := r.step.Progress()
	progress.Epoch = r.epoch
	return progress
}

// Progress tells how far a step is.
func (s *Service) Progress(ctx context.Context, unit string) (wire.Progress, error) {
	r, err := s.owned(ctx, unit, 0)
	if err != nil {
		return wire.Progress{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress(), nil
}

// Cancel drops a step for good.
func (s *Service) Cancel(ctx context.Context, unit string) error {
	r, err := s.owned(ctx, unit, 0)
	if err != nil {
		return err
	}
	if s.remove(r) {
		event.StepCancelled.Log(ctx, s.options.Logger, slog.String("step", unit))
		s.finished.Add(unit, r.step.digest)
		s.release(unit)
	}
	return nil
}

// upkeep looks after all steps until the service has drained.
func (s *Service) upkeep() {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, r := range s.all() {
				s.tend(r)
			}
		case <-s.stopped:
			return
		}
	}
}

func (s *Service) all() []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, r)
	}
	return all
}

// tend notices new weights, stragglers, a deadline that passed and a trainer
// that is gone.
func (s *Service) tend(r *run) {
	r.mu.Lock()
	quiet := time.Since(r.pulled)
	if quiet >= s.options.IdleAfter && !r.idle {
		r.idle = true
		event.StepIdle.Log(r.ctx, s.options.Logger, slog.String("step", r.unit))
	}
	if moved := r.step.relocate(time.Now()); moved > 0 {
		event.StragglersMoved.Log(r.ctx, s.options.Logger, slog.String("step", r.unit), slog.Int("samples", moved))
	}
	r.advance()
	r.wake()
	r.mu.Unlock()
	if quiet >= s.options.AbandonAfter && s.remove(r) {
		event.StepAbandoned.Log(r.ctx, s.options.Logger, slog.String("step", r.unit))
		s.release(r.unit)
	}
}

// enter counts a call in flight; false when the service drains.
func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.calls.Add(1)
	return true
}

// Drain stops taking new steps, lets calls in flight finish, hands all steps
// over with what was generated, and ends the service. It fails when ctx ends before the calls do; the
// steps are given up all the same.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.draining)
	s.mu.Unlock()
	err := waitFor(ctx, s.calls.Wait)
	var stopped []*run
	for _, r := range s.all() {
		if s.remove(r) {
			stopped = append(stopped, r)
		}
	}
	close(s.stopped)
	err = errors.Join(err, waitFor(ctx, func() { waitAll(stopped) }))
	s.handOverAll(ctx, stopped)
	return err
}

func waitAll(runs []*run) {
	for _, r := range runs {
		r.work.Wait()
	}
}

// waitFor runs wait and returns when it does or when ctx ends.
func waitFor(ctx context.Context, wait func()) error {
	done := make(chan struct{})
	go func() {
		wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ErrDraining.Wrap(ctx.Err(), "trainers' calls or generations were still in flight")
	}
}
