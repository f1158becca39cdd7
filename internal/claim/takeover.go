package claim

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// failureLogInterval limits how often the failure to open a partition is logged.
const failureLogInterval = 30 * time.Second

// takeoverAttempts records the latest attempts to take over a partition. It limits the rate
// of calls to the platform's service and of log lines.
type takeoverAttempts struct {
	failedAt time.Time
	loggedAt time.Time
	forcedAt time.Time
	// holder is the entry that owned the partition at holderSeenAt.
	holder       string
	holderSeenAt time.Time
}

// partition returns the partition if this entry owns it, and acquires it first if it is
// free.
func (s *Server) partition(ctx context.Context, number uint32) (*partition, error) {
	if p := s.current(number); p != nil {
		return p, nil
	}
	opened := s.opening.DoChan(strconv.FormatUint(uint64(number), 10), func() (any, error) {
		return s.takeOver(number)
	})
	select {
	case result := <-opened:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*partition), nil
	case <-ctx.Done():
		return nil, ErrUnavailable.Wrap(ctx.Err(), "waiting for partition %d", number)
	}
}

func (s *Server) current(number uint32) *partition {
	s.mu.Lock()
	p := s.open[number]
	s.mu.Unlock()
	if p == nil || p.isClosed() || !s.owner.Valid(p.tenure) {
		return nil
	}
	return p.partition
}

// takeOver acquires the ownership of the partition and opens it.
func (s *Server) takeOver(number uint32) (*partition, error) {
	if p := s.current(number); p != nil {
		return p, nil
	}
	if err := s.checkRetryAllowed(number); err != nil {
		return nil, err
	}
	s.closeStale(number)
	tenure, err := s.acquire(number)
	if errorx.IsOfType(err, ownership.ErrHeldElsewhere) {
		s.recordHolder(number, ownership.HolderOf(err))
		return nil, err
	}
	if err != nil {
		s.recordFailure(number, err)
		return nil, ErrUnavailable.Wrap(err, "acquire partition %d", number)
	}
	p, err := openPartition(s.runCtx, s.store, number, tenure.Epoch, s.options, s.logger, s.metrics)
	if err != nil {
		s.recordFailure(number, err)
		s.releaseFenced(tenure, err)
		return nil, ErrUnavailable.Wrap(err, "open partition %d", number)
	}
	return p, s.start(p, tenure)
}

// forcibleOwner is an ownership.Owner that can take over a unit from a dead holder.
type forcibleOwner interface {
	TakeOver(ctx context.Context, unit, holder string) (ownership.Tenure, error)
}

// forcedTakeoverInterval limits how often this entry takes over a partition whose holder's
// lease has not expired. Otherwise two entries that cannot reach each other, but both reach
// the platform's service, would take over a partition from each other continuously.
const forcedTakeoverInterval = 10 * time.Second

// acquire acquires a partition that is free or whose holder is believed to be dead. A
// holder that is alive after all is fenced: its next group write fails.
func (s *Server) acquire(number uint32) (ownership.Tenure, error) {
	unit := UnitOf(number)
	tenure, err := s.owner.Acquire(s.runCtx, unit)
	holder := ownership.HolderOf(err)
	owner, ok := s.owner.(forcibleOwner)
	if holder == "" || !ok || !s.mayForceTakeover(number, holder) {
		return tenure, err
	}
	return owner.TakeOver(s.runCtx, unit, holder)
}

func (s *Server) mayForceTakeover(number uint32, holder string) bool {
	if s.options.Alive == nil || s.options.Alive(holder) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.attempts[number]
	if time.Since(attempts.forcedAt) < forcedTakeoverInterval {
		return false
	}
	attempts.forcedAt = time.Now()
	s.attempts[number] = attempts
	return true
}

func (s *Server) recordHolder(number uint32, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.attempts[number]
	attempts.holder, attempts.holderSeenAt = holder, time.Now()
	s.attempts[number] = attempts
}

// checkRetryAllowed returns an error if the entry is leaving, or if less than RetryInterval
// ago the partition was held elsewhere or could not be opened. It limits the calls to the
// platform's service.
func (s *Server) checkRetryAllowed(number uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return errLeaving.New("this entry is leaving")
	}
	attempts := s.attempts[number]
	if time.Since(attempts.holderSeenAt) < s.options.RetryInterval {
		return ownership.HeldElsewhere(UnitOf(number), attempts.holder)
	}
	if time.Since(attempts.failedAt) < s.options.RetryInterval {
		return ErrUnavailable.New("partition %d: the last attempt to open it failed less than the retry interval ago", number)
	}
	return nil
}

func (s *Server) recordFailure(number uint32, err error) {
	now := time.Now()
	s.mu.Lock()
	attempts := s.attempts[number]
	attempts.failedAt = now
	shouldLog := now.Sub(attempts.loggedAt) >= failureLogInterval
	if shouldLog {
		attempts.loggedAt = now
	}
	s.attempts[number] = attempts
	s.mu.Unlock()
	if !shouldLog {
		return
	}
	event.PartitionRefused.Log(s.runCtx, s.logger, slog.Int("partition", int(number)), slog.String("error", err.Error()))
}

// releaseFenced releases a tenure if the log contains a newer epoch.
func (s *Server) releaseFenced(tenure ownership.Tenure, err error) {
	if errorx.IsOfType(err, ErrFenced) {
		_ = s.owner.Release(s.runCtx, tenure.Unit)
	}
}

// closeStale stops a partition that is closed or whose tenure has ended, and keeps its
// unresolved claims for the next opening.
func (s *Server) closeStale(number uint32) {
	s.mu.Lock()
	p := s.open[number]
	delete(s.open, number)
	s.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	<-p.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresolved[number] = append(s.unresolved[number], p.partition.unresolved()...)
}

func (s *Server) start(p *partition, tenure ownership.Tenure) error {
	ctx, cancel := context.WithCancel(s.runCtx)
	opened := &openedPartition{partition: p, tenure: tenure, done: make(chan struct{}), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		cancel()
		return errLeaving.New("this entry is leaving")
	}
	s.open[p.number] = opened
	p.releaseUnresolved(s.unresolved[p.number])
	delete(s.unresolved, p.number)
	s.loops.Go(func() {
		defer close(opened.done)
		defer cancel()
		p.run(ctx)
	})
	return nil
}
