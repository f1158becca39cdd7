package step

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// maxPullWait bounds how long a pull waits.
const maxPullWait = 30 * time.Second

// Pull answers a trainer's pull with an encoded PullReply.
func (s *Service) Pull(ctx context.Context, unit string, req *wire.PullRequest) ([]byte, error) {
	r, err := s.owned(ctx, unit, req.Epoch)
	if err != nil {
		return nil, err
	}
	ended, err := r.begin(req)
	if err != nil {
		return nil, err
	}
	limits := s.limits(req)
	if err := r.await(ctx, ended, s.draining, limits, waitOf(req)); err != nil {
		return nil, err
	}
	return s.reply(ctx, r, req, limits)
}

// owned returns the run of a unit that this entry surely owns. The epoch is the
// highest that the trainer has seen.
func (s *Service) owned(ctx context.Context, unit string, epoch int64) (*run, error) {
	r := s.find(unit)
	if r == nil {
		return nil, s.unknown(ctx, unit)
	}
	if err := s.confirmTenure(ctx, r); err != nil {
		return nil, err
	}
	if r.outdated(epoch) {
		s.lose(r)
		return nil, ErrNotOwner.New("%s was owned in epoch %d since", unit, epoch)
	}
	return r, nil
}

// outdated reports whether the trainer has seen a later owner. A run that has
// no lease for want of the platform's service goes on in the trainer's epoch.
func (r *run) outdated(epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tenure.Epoch == 0 {
		r.epoch = max(r.epoch, epoch)
	}
	return epoch > r.epoch
}

// unknown tells a trainer to send the specification, unless another entry
// holds the step.
func (s *Service) unknown(ctx context.Context, unit string) error {
	tenure, err := s.hold(ctx, unit)
	if err != nil {
		return err
	}
	if tenure.Epoch > 0 && s.find(unit) == nil {
		s.release(unit)
	}
	return ErrUnknownStep.New("%s is not known; send its specification again", unit)
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

// begin notes a pull and ends the one in flight before it. The channel closes
// when this pull is replaced in turn.
func (r *run) begin(req *wire.PullRequest) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.step.Pull(req); err != nil {
		return nil, err
	}
	close(r.ended)
	r.ended = make(chan struct{})
	r.pulled = time.Now()
	r.idle = false
	r.advance()
	return r.ended, nil
}

// await returns when a reply is worth composing or the wait is over.
func (r *run) await(ctx context.Context, ended, draining <-chan struct{}, limits replyLimits, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, done := r.look(limits)
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
			return ErrNotOwner.New("%s was dropped here", r.unit)
		case <-ended:
			return ErrSuperseded.New("a newer pull of %s came", r.unit)
		case <-ctx.Done():
			return ErrSuperseded.Wrap(ctx.Err(), "the trainer went away")
		}
	}
}

func (r *run) look(limits replyLimits) (<-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed, r.step.worthReplying(limits) || r.stuck()
}

// stuck reports whether the trainer should wait no more. The caller holds mu.
func (r *run) stuck() bool {
	return r.step.counts[ready] == 0 && !r.step.Complete() && r.hopeless()
}

// reply composes the reply while the entry surely owns the step.
func (s *Service) reply(ctx context.Context, r *run, req *wire.PullRequest, limits replyLimits) ([]byte, error) {
	if err := s.confirmTenure(ctx, r); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return nil, ErrNotOwner.New("%s was dropped here", r.unit)
	}
	if r.step.delivery.pull != req.Pull {
		return nil, ErrSuperseded.New("a newer pull of %s came", r.unit)
	}
	r.advance()
	if r.stuck() {
		event.StepPastDue.Log(ctx, s.options.Logger, slog.String("step", r.unit))
		return nil, ErrDeadline.New("the deadline of %s passed", r.unit)
	}
	return r.step.Reply(r.epoch, limits)
}
