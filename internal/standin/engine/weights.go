package engine

import (
	"context"
	"net/http"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// activation is an activate order on its way to the loop, which swaps weights
// between two tokens.
type activation struct {
	order  protocol.WeightOrder
	status chan int
}

// Weights returns the present weight state.
func (s *Server) Weights() protocol.WeightState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights
}

// acceptLocked checks the fencing number and deadline of an order; it returns
// the status of a refusal, or zero.
func (s *Server) acceptLocked(order protocol.WeightOrder) int {
	if s.options.ChecksFence {
		if order.Fence < s.weights.Fence {
			return http.StatusPreconditionFailed
		}
		s.weights.Fence = order.Fence
	}
	if !order.Deadline.IsZero() && time.Now().After(order.Deadline) {
		return http.StatusConflict
	}
	return 0
}

func (s *Server) stage(w http.ResponseWriter, r *http.Request) {
	var order protocol.WeightOrder
	if !jsonhttp.Read(w, r, &order) {
		return
	}
	number, status := s.beginStaging(order)
	if status == 0 {
		// The work goes on when the caller hangs up, as an order's work does.
		status = s.finishStaging(context.WithoutCancel(r.Context()), order, number)
	}
	s.answerOrder(w, status)
}

func (s *Server) beginStaging(order protocol.WeightOrder) (int64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.acceptLocked(order); status != 0 {
		return 0, status
	}
	s.stagings++
	return s.stagings, 0
}

// finishStaging loads the version. A later order supersedes it.
func (s *Server) finishStaging(ctx context.Context, order protocol.WeightOrder, number int64) int {
	if s.options.FetchWeights != nil {
		if err := s.options.FetchWeights(ctx, order.Version); err != nil {
			return http.StatusBadGateway
		}
	}
	if !s.sleep(s.options.scaled(s.options.StageTime)) {
		return http.StatusServiceUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != s.stagings {
		return http.StatusConflict
	}
	s.weights.Staged = order.Version
	s.journal.Append(Record{At: time.Now(), Event: Staged, Version: order.Version, Fence: order.Fence})
	return http.StatusOK
}

func (s *Server) activate(w http.ResponseWriter, r *http.Request) {
	var order protocol.WeightOrder
	if !jsonhttp.Read(w, r, &order) {
		return
	}
	pending := &activation{order: order, status: make(chan int, 1)}
	s.mu.Lock()
	s.activations = append(s.activations, pending)
	s.mu.Unlock()
	s.nudge()
	select {
	case status := <-pending.status:
		s.answerOrder(w, status)
	case <-r.Context().Done(): // the order stands
	case <-s.closed:
		panic(http.ErrAbortHandler)
	}
}

// swapWeights runs the pending activate orders; it is called between steps.
func (s *Server) swapWeights() {
	s.mu.Lock()
	pending := s.activations
	s.activations = nil
	s.mu.Unlock()
	for _, a := range pending {
		a.status <- s.swap(a.order)
	}
}

func (s *Server) swap(order protocol.WeightOrder) int {
	s.mu.Lock()
	status := s.acceptLocked(order)
	done := s.weights.Active == order.Version && !s.weights.Broken
	staged := s.weights.Staged == order.Version
	s.mu.Unlock()
	switch {
	case status != 0:
		return status
	case done:
		return http.StatusOK
	case !staged:
		return http.StatusConflict
	case !s.sleep(s.options.scaled(s.options.ActivateTime)):
		return http.StatusServiceUnavailable
	}
	return s.finishSwap(order)
}

func (s *Server) finishSwap(order protocol.WeightOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Record{At: time.Now(), Event: Activated, Version: order.Version, Fence: order.Fence}
	if s.takeLocked(func(f *Fault) *int { return &f.FailActivations }) {
		record.Event = Broken
		s.journal.Append(record)
		s.weights.Broken = true
		s.endAllLocked()
		return http.StatusInternalServerError
	}
	s.journal.Append(record)
	s.weights.Active = order.Version
	s.weights.Broken = false
	s.cache.clear()
	return http.StatusOK
}

func (s *Server) answerOrder(w http.ResponseWriter, status int) {
	if status == http.StatusOK && s.take(func(f *Fault) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, status, s.Weights())
}
