package step

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Confirm records the samples that the trainer holds and removes a step that is
// complete.
func (s *Service) Confirm(ctx context.Context, unit string, req *wire.ConfirmRequest) (wire.Progress, error) {
	r, err := s.ownedRun(ctx, unit, req.Epoch)
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
	r.startSamples()
	return r.progress(), nil
}

// progress returns the step's progress with the run's epoch. The caller holds mu.
func (r *run) progress() wire.Progress {
	progress := r.step.Progress()
	progress.Epoch = r.epoch
	return progress
}

// Progress returns the progress of a step.
func (s *Service) Progress(ctx context.Context, unit string) (wire.Progress, error) {
	r, err := s.ownedRun(ctx, unit, 0)
	if err != nil {
		return wire.Progress{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress(), nil
}

// Cancel drops a step permanently.
func (s *Service) Cancel(ctx context.Context, unit string) error {
	r, err := s.ownedRun(ctx, unit, 0)
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

// maintainRuns maintains all runs periodically until the service has drained.
func (s *Service) maintainRuns() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, r := range s.allRuns() {
				s.maintain(r)
			}
		case <-s.stopped:
			return
		}
	}
}

func (s *Service) allRuns() []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		runs = append(runs, r)
	}
	return runs
}

// maintain applies new weight versions, moves stragglers, wakes pulls so that they
// detect a passed deadline, and marks the step as idle or drops it when its trainer
// no longer pulls.
func (s *Service) maintain(r *run) {
	r.mu.Lock()
	sincePull := time.Since(r.lastPulled)
	if sincePull >= s.options.IdleAfter && !r.idle {
		r.idle = true
		event.StepIdle.Log(r.ctx, s.options.Logger, slog.String("step", r.unit))
	}
	if moved := r.step.moveStragglers(time.Now()); moved > 0 {
		event.StragglersMoved.Log(r.ctx, s.options.Logger, slog.String("step", r.unit), slog.Int("samples", moved))
	}
	r.advance()
	r.wakePulls()
	r.mu.Unlock()
	if sincePull >= s.options.AbandonAfter && s.remove(r) {
		event.StepAbandoned.Log(r.ctx, s.options.Logger, slog.String("step", r.unit))
		s.release(r.unit)
	}
}

// beginCall registers a call in flight, or returns false if the service is draining.
func (s *Service) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.calls.Add(1)
	return true
}

// Drain refuses new steps, waits for the calls in flight, hands all steps over with
// their generated samples, and stops the service. It returns an error if ctx ends
// before the calls and generations do, but releases the steps in any case.
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
	for _, r := range s.allRuns() {
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
		r.generations.Wait()
	}
}

// waitFor runs wait and returns when wait returns or ctx ends.
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
		return ErrDraining.Wrap(ctx.Err(), "calls or generations were still in flight")
	}
}
