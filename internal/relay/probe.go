package relay

import (
	"context"
	"time"
)

// Timeouts and delays of direct calls and probes.
const (
	// directTimeout bounds one direct read of a range, which may be large, and
	// probeTimeout a probe.
	directTimeout = 1100 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// minProbeDelay is the first delay between probes while the store does not answer this
	// node. It doubles up to maxProbeDelay, because the number of failing calls during an
	// outage grows with the fleet.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = time.Second
	// urgentProbeDelay is the delay between probes of a node whose calls others wait for. Such
	// probes overlap: one that was sent during an outage gets no answer after it.
	urgentProbeDelay = 200 * time.Millisecond
	maxOpenProbes    = int(probeTimeout/urgentProbeDelay) + 1
	// probeKey is the key that a probe reads; it need not exist.
	probeKey = "probe"
)

// tryDirect reports whether the next call goes directly to the store. It returns false
// while the store does not answer this node, because a write whose answer is lost would
// have to time out and be read back. Probes detect when the store answers again.
func (s *Store) tryDirect() bool {
	urgent := s.urgent()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures < failuresToRelay {
		return true
	}
	if !s.now().Before(s.probeAt) {
		s.schedule(urgent)
		s.startProbe()
	}
	return false
}

// startProbe probes the store unless too many probes are in flight. The caller holds s.mu.
func (s *Store) startProbe() {
	if s.openProbes >= maxOpenProbes {
		return
	}
	s.openProbes++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		start := s.now()
		_, err := s.direct.Get(ctx, probeKey)
		s.probeEnded(start, err)
	}()
}

// probeEnded records the result of a probe. A probe without an answer says nothing if
// another call that ended after its start was answered.
func (s *Store) probeEnded(start time.Time, err error) {
	s.mu.Lock()
	s.openProbes--
	outdated := unanswered(err) && start.Before(s.answeredAt)
	if !unanswered(err) {
		s.waitLimit.answered(s.now().Sub(start))
	}
	s.mu.Unlock()
	if outdated {
		return
	}
	if unanswered(err) {
		s.dropIdleConnections()
	}
	s.recordResult(err)
}

// dropIdleConnections closes the connections to the store on which no call is in flight.
// After an outage or a lost answer, a connection may stay silent for good.
func (s *Store) dropIdleConnections() {
	if closer, ok := s.direct.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// timedOut records a direct call that timed out. Either only its answer was lost and the
// call can be retried at once, or the store is unreachable. A probe determines which.
func (s *Store) timedOut() {
	s.dropIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitLimit.timedOut()
	s.failures = max(s.failures, failuresToRelay-1)
	if s.openProbes == 0 {
		s.startProbe()
	}
}

// Reconnected implements metastore.Reconnector.
func (s *Store) Reconnected() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reconnected
}

// schedule sets the time of the next probe. The caller holds s.mu.
func (s *Store) schedule(urgent bool) {
	if urgent {
		s.probeAt = s.now().Add(urgentProbeDelay)
		return
	}
	s.probeAt = s.now().Add(s.probeDelay)
	s.probeDelay = min(2*s.probeDelay, maxProbeDelay)
}

// recordResult records the result of a direct call or probe.
func (s *Store) recordResult(err error) {
	urgent := s.urgent()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !unanswered(err) {
		if s.failures >= failuresToRelay {
			s.relaying = make(chan struct{})
			close(s.reconnected)
			s.reconnected = nil
		}
		s.failures = 0
		s.answeredAt = s.now()
		return
	}
	s.failures++
	if s.failures == failuresToRelay {
		s.probeDelay = minProbeDelay
		s.schedule(urgent)
		close(s.relaying)
		s.reconnected = make(chan struct{})
	}
}
