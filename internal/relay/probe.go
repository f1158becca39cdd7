package relay

import (
	"context"
	"time"
)

// Times of direct calls and probes.
const (
	// directTimeout bounds one direct reading of a range, which may be large, and
	// probeTimeout a probe.
	directTimeout = 1100 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// probeFirst is the pause before the store is probed again while it does not
	// answer this node. It doubles up to probeMost: in an outage the calls that
	// fail grow with the fleet.
	probeFirst = 500 * time.Millisecond
	probeMost  = time.Second
	// probeUrgent is the pause of a node on whose calls others wait.
	probeUrgent = 200 * time.Millisecond
	// probeKey is what a probe reads; it need not exist.
	probeKey = "probe"
)

// tryDirect reports whether the next call is to go directly. While the store does
// not answer here, none does: a write that was lost on the way would have to be
// waited for, and read back. Probes find out when that is over.
func (s *Store) tryDirect() bool {
	urgent := s.urgent()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures < failuresToTurn {
		return true
	}
	if !s.now().Before(s.probeAt) {
		s.schedule(urgent)
		s.startProbe()
	}
	return false
}

// startProbe probes the store unless that is under way; s.mu is held.
func (s *Store) startProbe() {
	if s.probing {
		return
	}
	s.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		began := s.now()
		_, err := s.direct.Get(ctx, probeKey)
		s.note(err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.probing = false
		if !lost(err) {
			s.patience.answered(s.now().Sub(began))
		}
	}()
}

// missed records a direct call that was given up without an answer. Either its
// answer was lost, and the call is to be made again at once, or nothing comes here
// from the store any more: a probe tells.
func (s *Store) missed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience.missed()
	s.failures = max(s.failures, failuresToTurn-1)
	s.startProbe()
}

// schedule sets the time of the next probe; s.mu is held.
func (s *Store) schedule(urgent bool) {
	if urgent {
		s.probeAt = s.now().Add(probeUrgent)
		return
	}
	s.probeAt = s.now().Add(s.probePause)
	s.probePause = min(2*s.probePause, probeMost)
}

// note records how a direct call ended.
func (s *Store) note(err error) {
	urgent := s.urgent()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !lost(err) {
		if s.failures >= failuresToTurn {
			s.turned = make(chan struct{})
		}
		s.failures = 0
		return
	}
	s.failures++
	if s.failures == failuresToTurn {
		s.probePause = probeFirst
		s.schedule(urgent)
		close(s.turned)
	}
}
