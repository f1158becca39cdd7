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

// tellEvery keeps a partition that cannot be opened from filling the log.
const tellEvery = 30 * time.Second

// takeoverTries is what is remembered of taking a partition over, so that
// neither the platform's service nor the log is filled.
type takeoverTries struct {
	failedAt  time.Time
	toldAt    time.Time
	deposedAt time.Time
	// holder was found to hold the partition at heldAt.
	holder string
	heldAt time.Time
}

// partition returns the partition if this entry owns it, taking it if it is
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

// takeOver confirms the ownership and opens the partition.
func (s *Server) takeOver(number uint32) (*partition, error) {
	if p := s.current(number); p != nil {
		return p, nil
	}
	if err := s.mayOpen(number); err != nil {
		return nil, err
	}
	s.drop(number)
	tenure, err := s.hold(number)
	if errorx.IsOfType(err, ownership.ErrHeldElsewhere) {
		s.noteHolder(number, ownership.HolderOf(err))
		return nil, err
	}
	if err != nil {
		s.noteFailure(number, err)
		return nil, ErrUnavailable.Wrap(err, "partition %d", number)
	}
	p, err := openPartition(s.life, s.store, number, tenure.Epoch, s.options, s.logger, s.metrics)
	if err != nil {
		s.noteFailure(number, err)
		s.giveUpFenced(tenure, err)
		return nil, ErrUnavailable.Wrap(err, "partition %d", number)
	}
	return p, s.start(p, tenure)
}

// deposer is an ownership.Owner that can take a unit from a dead holder.
type deposer interface {
	TakeOver(ctx context.Context, unit, holder string) (ownership.Tenure, error)
}

// deposeEvery keeps two entries that cannot reach each other, but both reach the
// platform's service, from taking a partition from each other all the time.
const deposeEvery = 10 * time.Second

// hold takes a partition that is free or whose holder is taken for dead. A
// holder that lives after all is fenced: it cannot write its next group.
func (s *Server) hold(number uint32) (ownership.Tenure, error) {
	unit := UnitOf(number)
	tenure, err := s.owner.Acquire(s.life, unit)
	holder := ownership.HolderOf(err)
	owner, able := s.owner.(deposer)
	if holder == "" || !able || !s.mayDepose(number, holder) {
		return tenure, err
	}
	return owner.TakeOver(s.life, unit, holder)
}

func (s *Server) mayDepose(number uint32, holder string) bool {
	if s.options.Alive == nil || s.options.Alive(holder) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tries := s.tries[number]
	if time.Since(tries.deposedAt) < deposeEvery {
		return false
	}
	tries.deposedAt = time.Now()
	s.tries[number] = tries
	return true
}

func (s *Server) noteHolder(number uint32, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tries := s.tries[number]
	tries.holder, tries.heldAt = holder, time.Now()
	s.tries[number] = tries
}

// mayOpen spares the platform's service when opening failed just now.
func (s *Server) mayOpen(number uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return errLeaving.New("this entry is leaving")
	}
	tries := s.tries[number]
	if time.Since(tries.heldAt) < s.options.RetryInterval {
		return ownership.HeldElsewhere(UnitOf(number), tries.holder)
	}
	if time.Since(tries.failedAt) < s.options.RetryInterval {
		return ErrUnavailable.New("partition %d could not be opened just now", number)
	}
	return nil
}

func (s *Server) noteFailure(number uint32, err error) {
	now := time.Now()
	s.mu.Lock()
	tries := s.tries[number]
	tries.failedAt = now
	tell := now.Sub(tries.toldAt) >= tellEvery
	if tell {
		tries.toldAt = now
	}
	s.tries[number] = tries
	s.mu.Unlock()
	if !tell {
		return
	}
	event.PartitionRefused.Log(s.life, s.logger, slog.Int("partition", int(number)), slog.String("error", err.Error()))
}

// giveUpFenced releases a tenure whose epoch the log has left behind.
func (s *Server) giveUpFenced(tenure ownership.Tenure, err error) {
	if errorx.IsOfType(err, ErrFenced) {
		_ = s.owner.Release(s.life, tenure.Unit)
	}
}

// drop ends a partition that is closed or whose tenure has ended.
func (s *Server) drop(number uint32) {
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
	ctx, cancel := context.WithCancel(s.life)
	opened := &openedPartition{partition: p, tenure: tenure, done: make(chan struct{}), cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		cancel()
		return errLeaving.New("this entry is leaving")
	}
	s.open[p.number] = opened
	p.release(s.unresolved[p.number])
	delete(s.unresolved, p.number)
	s.loops.Go(func() {
		defer close(opened.done)
		defer cancel()
		p.run(ctx)
	})
	return nil
}
