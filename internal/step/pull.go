package step

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// maxPullWait is the longest time that a pull waits for samples.
const maxPullWait = 30 * time.Second

// Pull handles a trainer's pull and returns an encoded PullReply.
func (s *Service) Pull(ctx context.Context, unit string, req *wire.PullRequest) ([]byte, error) {
	r, err := s.ownedRun(ctx, unit, req.Epoch)
	if err != nil {
		return nil, err
	}
	superseded, err := r.beginPull(req)
	if err != nil {
		return nil, err
	}
	limits := s.limits(req)
	if err := r.awaitReply(ctx, superseded, s.draining, limits, waitOf(req)); err != nil {
		return nil, err
	}
	return s.reply(ctx, r, req, limits)
}

// ownedRun returns the run of a unit after confirming that this entry owns the unit.
// The epoch is the highest that the trainer has received.
func (s *Service) ownedRun(ctx context.Context, unit string, epoch int64) (*run, error) {
	r := s.find(unit)
	if r == nil {
		return nil, s.unknownStepError(ctx, unit)
	}
	if err := s.confirmTenure(ctx, r); err != nil {
		return nil, err
	}
	if r.outdated(epoch) {
		s.dropLost(r)
		return nil, ErrNotOwner.New("%s was owned by another entry in epoch %d", unit, epoch)
	}
	return r, nil
}

// outdated reports whether the trainer has received a higher epoch than the run's. A
// run without a lease, because the key-value service was unavailable, adopts the
// trainer's epoch instead.
func (r *run) outdated(epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tenure.Epoch == 0 {
		r.epoch = max(r.epoch, epoch)
	}
	return epoch > r.epoch
}

// unknownStepError returns the error for a unit that has no run here: ErrUnknownStep,
// which makes the trainer send the specification again, or ErrNotOwner if another
// entry holds the step.
func (s *Service) unknownStepError(ctx context.Context, unit string) error {
	tenure, err := s.acquire(ctx, unit)
	if err != nil {
		return err
	}
	if tenure.Epoch > 0 && s.find(unit) == nil {
		s.release(unit)
	}
	return ErrUnknownStep.New("%s is unknown here; send its specification again", unit)
}

func (s *Service) limits(req *wire.PullRequest) replyLimits {
	limits := replyLimits{samples: s.options.MaxReplySamples, bytes: s.options.MaxReplyBytes}
	if req.MaxSamples > 0 {
		limits.samples = min(limits.samples, req.MaxSamples)
	}
	return limits
}

func waitOf(req *wire.PullRequest) time.Duration {
	return min(time.Duration(max(req.WaitMillis, 0))*time.Millisecond, maxPullWait)
}

// beginPull records a pull and ends the one that is in flight. The returned channel is
// closed when a later pull supersedes this one.
func (r *run) beginPull(req *wire.PullRequest) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.step.Pull(req); err != nil {
		return nil, err
	}
	close(r.superseded)
	r.superseded = make(chan struct{})
	r.lastPulled = time.Now()
	r.idle = false
	r.advance()
	return r.superseded, nil
}

// awaitReply returns nil when the pull can be answered, when the wait is over or when
// the service drains. It returns an error when the pull is superseded, when ctx ends
// and when the step is dropped.
func (r *run) awaitReply(ctx context.Context, superseded, draining <-chan struct{}, limits replyLimits, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, done := r.checkReply(limits)
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-draining:
			return nil
		case <-r.ctx.Done():
			return ErrNotOwner.New("this entry dropped %s", r.unit)
		case <-superseded:
			return ErrSuperseded.New("a newer pull of %s arrived", r.unit)
		case <-ctx.Done():
			return ErrSuperseded.Wrap(ctx.Err(), "the trainer ended the call")
		}
	}
}

// checkReply reports whether a pull can be answered now and returns the channel that is
// closed when that may have changed.
func (r *run) checkReply(limits replyLimits) (<-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed, r.step.canReply(limits) || r.shouldFail()
}

// shouldFail reports whether pulls should fail because the step has nothing to
// deliver and no longer makes progress. The caller holds mu.
func (r *run) shouldFail() bool {
	return r.step.counts[ready] == 0 && !r.step.Complete() && r.stalledPastDeadline()
}

// reply composes the reply after confirming again that this entry owns the step.
func (s *Service) reply(ctx context.Context, r *run, req *wire.PullRequest, limits replyLimits) ([]byte, error) {
	if err := s.confirmTenure(ctx, r); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return nil, ErrNotOwner.New("this entry dropped %s", r.unit)
	}
	if r.step.delivery.pull != req.Pull {
		return nil, ErrSuperseded.New("a newer pull of %s arrived", r.unit)
	}
	r.advance()
	if r.shouldFail() {
		event.StepPastDeadline.Log(ctx, s.options.Logger, slog.String("step", r.unit))
		return nil, ErrDeadline.New("the deadline of %s passed", r.unit)
	}
	return r.step.Reply(r.epoch, limits)
}
