package engine

import "net/http"

// Fault is a set of faults to inject. PUT /faults replaces the current set. The zero
// value injects none.
type Fault struct {
	// Freeze stops request handling and generation until the fault is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// Fail answers every completion with 500 and no body. FailNext does so for this
	// many next completions.
	Fail     bool `json:"fail,omitempty"`
	FailNext int  `json:"fail_next,omitempty"`
	// RefuseNext is the number of next completions to refuse with 503, as not run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// SlowFactor, if above zero, multiplies the duration of each step.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// AfterTokens is the number of tokens sent before CutNext, TruncateNext and
	// LateNext take effect on an answer.
	AfterTokens int `json:"after_tokens,omitempty"`
	// CutNext is the number of next answers whose connection is closed there.
	CutNext int `json:"cut_next,omitempty"`
	// TruncateNext is the number of next answers that end there without an error;
	// a stream ends without its end marker.
	TruncateNext int `json:"truncate_next,omitempty"`
	// LateNext is the number of next answers that pause there for LateMillis
	// milliseconds.
	LateNext   int   `json:"late_next,omitempty"`
	LateMillis int64 `json:"late_ms,omitempty"`
	// MixUpNext is the number of next answers that carry a wrong request identifier.
	MixUpNext int `json:"mix_up_next,omitempty"`
	// AcceptWhileLeaving makes a leaving engine report that it is leaving, but
	// still accept requests.
	AcceptWhileLeaving bool `json:"accept_while_leaving,omitempty"`
	// FailActivations is the number of next activate orders that fail partway.
	FailActivations int `json:"fail_activations,omitempty"`
	// LoseReplies is the number of next orders that take effect but whose connection
	// is closed without a response.
	LoseReplies int `json:"lose_replies,omitempty"`
}

// SetFault replaces the injected faults.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// takeFault decrements a fault counter, and reports whether it was above zero and the
// fault applies.
func (s *Server) takeFault(counter func(*Fault) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeFaultLocked(counter)
}

func (s *Server) takeFaultLocked(counter func(*Fault) *int) bool {
	remaining := counter(&s.fault)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// waitWhileFrozen blocks while the engine is frozen. It returns false if done is
// closed first.
func (s *Server) waitWhileFrozen(done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		frozen, changed := s.fault.Freeze, s.faultsChanged
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

// withFaults blocks calls while the engine is frozen, and closes their connections if
// it has crashed.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.waitWhileFrozen(r.Context().Done()) || s.isCrashed() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}
