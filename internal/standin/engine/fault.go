package engine

import "net/http"

// Fault is a set of faults. PUT /faults replaces the present set; the zero
// value is none.
type Fault struct {
	// Freeze: nothing is read, generated or answered until it is lifted.
	Freeze bool `json:"freeze,omitempty"`
	// Fail: completions are answered with a bare 500; FailNext only so many.
	Fail     bool `json:"fail,omitempty"`
	FailNext int  `json:"fail_next,omitempty"`
	// RefuseNext: this many completions are answered with 503 and not-run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// SlowFactor multiplies the time of each step, if above zero.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// AfterTokens is the place in an answer where the next three faults strike.
	AfterTokens int `json:"after_tokens,omitempty"`
	// CutNext: the connections of this many answers are closed there.
	CutNext int `json:"cut_next,omitempty"`
	// TruncateNext: this many streams end there, cleanly but without end marker.
	TruncateNext int `json:"truncate_next,omitempty"`
	// LateNext: this many streams pause there for LateMillis milliseconds.
	LateNext   int   `json:"late_next,omitempty"`
	LateMillis int64 `json:"late_ms,omitempty"`
	// MixUpNext: this many answers carry the identifier of another request.
	MixUpNext int `json:"mix_up_next,omitempty"`
	// AcceptWhileLeaving: a leaving engine says so and still takes work.
	AcceptWhileLeaving bool `json:"accept_while_leaving,omitempty"`
	// FailActivations: this many activate orders fail partway.
	FailActivations int `json:"fail_activations,omitempty"`
	// LoseReplies: this many orders take effect and get no reply.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// SetFault replaces the faults.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.thawed)
	s.thawed = make(chan struct{})
}

// take counts one of a number of faults down and reports whether it strikes.
func (s *Server) take(count func(*Fault) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(count)
}

func (s *Server) takeLocked(count func(*Fault) *int) bool {
	left := count(&s.fault)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// thaw waits while the engine is frozen; false when the wait was given up.
func (s *Server) thaw(done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		frozen, changed := s.fault.Freeze, s.thawed
		s.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-done:
			return false
		case <-changed:
		}
	}
}

// gate keeps calls away from a frozen or dead engine.
func (s *Server) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.thaw(r.Context().Done()) || s.isDead() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}
