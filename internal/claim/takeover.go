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

// heldElsewhere is the holder that was found at an instant.
type heldElsewhere struct {
	holder string
	at     time.Time
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
	tenure, err := s.owner.Hold(s.life, UnitOf(number))
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

func (s *Server) noteHolder(number uint32, holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.elsewhere[number] = heldElsewhere{holder: holder, at: time.Now()}
}

// mayOpen spares the platform's service when opening failed just now.
func (s *Server) mayOpen(number uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return errLeaving.New("this entry is leaving")
	}
	if found := s.elsewhere[number]; time.Since(found.at) < s.options.RetryInterval {
		return ownership.HeldElsewhere(UnitOf(number), found.holder)
	}
	if time.Since(s.failedAt[number]) < s.options.RetryInterval {
		return ErrUnavailable.New("partition %d could not be opened just now", number)
	}
	return nil
}

func (s *Server) noteFailure(number uint32, err error) {
	now := time.Now()
	s.mu.Lock()
	s.failedAt[number] = now
	tell := now.Sub(s.toldAt[number]) >= tellEvery
	if tell {
		s.toldAt[number] = now
	}
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
