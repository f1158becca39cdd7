package engine

import (
	"strings"
	"time"
)

// loop swaps weights and runs batch steps until the server is closed.
func (s *Server) loop() {
	due := time.Now()
	for s.waitWhileFrozen(s.closed) {
		s.swapWeights()
		step, busy := s.startStep()
		if !busy {
			if !s.waitForWork() {
				return
			}
			due = time.Now()
			continue
		}
		due = nextDue(due, step)
		if !s.sleep(time.Until(due)) {
			return
		}
		s.finishStep()
	}
}

// maxCatchUp is the maximum delay of a step that later steps make up for.
const maxCatchUp = 20 * time.Millisecond

// nextDue returns the end time of the next step, given the end time of the previous one.
// If that is more than maxCatchUp ago, as after a pause, the next step starts now;
// shorter delays, such as those of timers, are made up for.
func nextDue(due time.Time, step time.Duration) time.Time {
	if now := time.Now(); now.Sub(due) > maxCatchUp {
		due = now
	}
	return due.Add(step)
}

// waitForWork blocks until there is work. It returns false if the server is closed.
func (s *Server) waitForWork() bool {
	select {
	case <-s.closed:
		return false
	case <-s.wake:
		return true
	}
}

// sleep waits for d. It returns false if the server is closed first.
func (s *Server) sleep(d time.Duration) bool {
	if d <= 0 {
		return !s.isClosed()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.closed:
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// startStep fills free slots and returns the duration of the step, and whether any
// sequence is running.
func (s *Server) startStep() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefill := s.admitLocked()
	if len(s.running) == 0 {
		return 0, false
	}
	step := s.options.StepBase + time.Duration(len(s.running))*s.options.StepPerSequence + prefill
	if s.fault.SlowFactor > 0 {
		step = time.Duration(float64(step) * s.fault.SlowFactor)
	}
	return s.options.scaled(step), true
}

// admitLocked moves waiting sequences into free slots, in the order of precedes, and
// returns the total duration of their prefill.
func (s *Server) admitLocked() time.Duration {
	var prefill time.Duration
	for len(s.running) < s.options.Slots && len(s.waiting) > 0 {
		best := 0
		for i, q := range s.waiting {
			if q.precedes(s.waiting[best]) {
				best = i
			}
		}
		q := s.waiting[best]
		s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
		q.state = running
		s.running = append(s.running, q)
		s.journal.Append(newRecord(Begun, q))
		chars := s.cache.add(q.request.Prompt + q.request.Resume)
		prefill += time.Duration(chars) * s.options.PrefillPerChar
	}
	return prefill
}

// finishStep generates one token for each running sequence, and removes those that
// are finished.
func (s *Server) finishStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.running[:0]
	for _, q := range s.running {
		if strings.Contains(q.request.Prompt, CrashMarker) {
			s.crashLocked()
			return
		}
		q.generate(s.weights.Active)
		if q.state == finished {
			s.journal.Append(newRecord(Finished, q))
			continue
		}
		remaining = append(remaining, q)
	}
	clear(s.running[len(remaining):])
	s.running = remaining
}

// cancel removes a sequence from the batch or the queue. It does nothing if the
// sequence has already ended.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.state != waiting && q.state != running {
		return
	}
	q.state = cancelled
	s.waiting = removeSequence(s.waiting, q)
	s.running = removeSequence(s.running, q)
	s.journal.Append(newRecord(Cancelled, q))
}

func removeSequence(sequences []*sequence, target *sequence) []*sequence {
	for i, q := range sequences {
		if q == target {
			return append(sequences[:i], sequences[i+1:]...)
		}
	}
	return sequences
}
