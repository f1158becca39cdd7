package engine

import (
	"context"
	"net/http"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// activation is an activate order that waits for the generation loop, which swaps
// weights between two tokens.
type activation struct {
	order  protocol.WeightOrder
	status chan int
}

// Weights returns the current weight state.
func (s *Server) Weights() protocol.WeightState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weights
}

// checkOrderLocked checks the fencing number and deadline of an order. It returns the
// HTTP status of a refusal, or zero if the order is accepted.
func (s *Server) checkOrderLocked(order protocol.WeightOrder) int {
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
		// An accepted order is completed even if its caller disconnects.
		status = s.finishStaging(context.WithoutCancel(r.Context()), order, number)
	}
	s.answerOrder(w, status)
}

// beginStaging accepts or refuses a stage order. It returns the number of the order,
// and the status of a refusal or zero.
func (s *Server) beginStaging(order protocol.WeightOrder) (int64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.checkOrderLocked(order); status != 0 {
		return 0, status
	}
	s.stageOrders++
	return s.stageOrders, 0
}

// finishStaging loads the version and returns the HTTP status of the order. The order
// fails if a later stage order was accepted in the meantime.
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
	if number != s.stageOrders {
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
	s.wakeLoop()
	select {
	case status := <-pending.status:
		s.answerOrder(w, status)
	case <-r.Context().Done(): // the order remains pending
	case <-s.closed:
		panic(http.ErrAbortHandler)
	}
}

// swapWeights executes the pending activate orders. The loop calls it between steps.
func (s *Server) swapWeights() {
	s.mu.Lock()
	pending := s.activations
	s.activations = nil
	s.mu.Unlock()
	for _, a := range pending {
		a.status <- s.swap(a.order)
	}
}

// swap executes an activate order and returns its HTTP status.
func (s *Server) swap(order protocol.WeightOrder) int {
	s.mu.Lock()
	status := s.checkOrderLocked(order)
	alreadyActive := s.weights.Active == order.Version && !s.weights.Broken
	staged := s.weights.Staged == order.Version
	s.mu.Unlock()
	switch {
	case status != 0:
		return status
	case alreadyActive:
		return http.StatusOK
	case !staged:
		return http.StatusConflict
	case !s.sleep(s.options.scaled(s.options.ActivateTime)):
		return http.StatusServiceUnavailable
	}
	return s.finishSwap(order)
}

// finishSwap activates the version. With the FailActivations fault, it marks the
// weights as broken instead and ends all requests.
func (s *Server) finishSwap(order protocol.WeightOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := Record{At: time.Now(), Event: Activated, Version: order.Version, Fence: order.Fence}
	if s.takeFaultLocked(func(f *Fault) *int { return &f.FailActivations }) {
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

// answerOrder writes the response to an order, or closes the connection if the
// LoseReplies fault applies.
func (s *Server) answerOrder(w http.ResponseWriter, status int) {
	if status == http.StatusOK && s.takeFault(func(f *Fault) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, status, s.Weights())
}
