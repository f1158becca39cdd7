package engine

import (
	"strings"
	"time"
)

// loop runs steps while there is work.
func (s *Server) loop() {
	due := time.Now()
	for s.thaw(s.closed) {
		s.swapWeights()
		step, busy := s.startStep()
		if !busy {
			if !s.rest() {
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

// maxCatchUp is how far steps may lag behind their times and still catch up.
const maxCatchUp = 20 * time.Millisecond

// nextDue adds a step to the end of the last one. Small delays of timers are
// caught up; after a pause the engine goes on from now.
func nextDue(due time.Time, step time.Duration) time.Time {
	if now := time.Now(); now.Sub(due) > maxCatchUp {
		due = now
	}
	return due.Add(step)
}

// rest waits for work; false when the server is closed.
func (s *Server) rest() bool {
	select {
	case <-s.closed:
		return false
	case <-s.wake:
		return true
	}
}

// sleep returns false when the server is closed.
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

// startStep fills free slots and returns the time of the step.
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

// admitLocked moves waiting sequences into free slots, best first, and returns
// the time of their prefill.
func (s *Server) admitLocked() time.Duration {
	var prefill time.Duration
	for len(s.running) < s.options.Slots && len(s.waiting) > 0 {
		best := 0
		for i, q := range s.waiting {
			if q.before(s.waiting[best]) {
				best = i
			}
		}
		q := s.waiting[best]
		s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
		q.state = running
		s.running = append(s.running, q)
		s.journal.Append(recordOf(Begun, q))
		chars := s.cache.load(q.request.Prompt + q.request.Resume)
		prefill += time.Duration(chars) * s.options.PrefillPerChar
	}
	return prefill
}

// finishStep makes one token of each running sequence.
func (s *Server) finishStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	rest := s.running[:0]
	for _, q := range s.running {
		if strings.Contains(q.request.Prompt, CrashMarker) {
			s.crashLocked()
			return
		}
		q.generate(s.weights.Active)
		if q.state == finished {
			s.journal.Append(recordOf(Finished, q))
			continue
		}
		rest = append(rest, q)
	}
	clear(s.running[len(rest):])
	s.running = rest
}

// cancel takes a sequence out of the batch or the queue, if it is there.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.state != waiting && q.state != running {
		return
	}
	q.state = cancelled
	s.waiting = without(s.waiting, q)
	s.running = without(s.running, q)
	s.journal.Append(recordOf(Cancelled, q))
}

func without(all []*sequence, gone *sequence) []*sequence {
	for i, q := range all {
		if q == gone {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}
