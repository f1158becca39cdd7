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
	// urgentProbeDelay is the delay between probes of a node whose calls others wait for.
	urgentProbeDelay = 200 * time.Millisecond
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

// startProbe probes the store unless a probe is in flight. The caller holds s.mu.
func (s *Store) startProbe() {
	if s.probing {
		return
	}
	s.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		start := s.now()
		_, err := s.direct.Get(ctx, probeKey)
		s.recordResult(err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.probing = false
		if !unanswered(err) {
			s.waitLimit.answered(s.now().Sub(start))
		}
	}()
}

// timedOut records a direct call that timed out. Either only its answer was lost and the
// call can be retried at once, or the store is unreachable. A probe determines which.
func (s *Store) timedOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitLimit.timedOut()
	s.failures = max(s.failures, failuresToRelay-1)
	s.startProbe()
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
		}
		s.failures = 0
		return
	}
	s.failures++
	if s.failures == failuresToRelay {
		s.probeDelay = minProbeDelay
		s.schedule(urgent)
		close(s.relaying)
	}
}
