package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var request protocol.CompletionRequest
	if !jsonhttp.Read(w, r, &request) {
		return
	}
	if request.Model != s.options.Model {
		refuse(w, http.StatusNotFound)
		return
	}
	if s.fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.turnsAway() {
		w.Header().Set(protocol.HeaderLeaving, "true")
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	q := s.submit(r.Header.Get(protocol.HeaderRequestID), request)
	if q == nil {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer s.cancel(q)
	a := &answer{server: s, w: w, r: r, q: q, id: s.answerID(q.id)}
	a.strikes = s.strikes()
	a.relay()
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(protocol.HeaderOutcome, protocol.OutcomeNotRun)
	w.WriteHeader(status)
}

func (s *Server) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Fail || s.takeLocked(func(f *Fault) *int { return &f.FailNext })
}

// turnsAway reports whether the engine takes no work because it is leaving.
func (s *Server) turnsAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && !s.fault.AcceptWhileLeaving
}

// submit queues a request; nil when the engine takes no work.
func (s *Server) submit(id string, request protocol.CompletionRequest) *sequence {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.takeLocked(func(f *Fault) *int { return &f.RefuseNext })
	if refused || s.weights.Broken || s.dead {
		return nil
	}
	s.arrivals++
	q := newSequence(id, request, s.arrivals)
	s.waiting = append(s.waiting, q)
	s.journal.Append(recordOf(Received, q))
	s.nudge()
	return q
}

// answerID is the identifier that the answer carries: a mix-up gives another's.
func (s *Server) answerID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.lastID
	s.lastID = id
	if s.takeLocked(func(f *Fault) *int { return &f.MixUpNext }) {
		return "mixed-up-" + other
	}
	return id
}

// strikes are the faults that strike one answer.
type strikes struct {
	after               int
	cut, truncate, late bool
	pause               time.Duration
}

func (s *Server) strikes() strikes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strikes{
		after:    s.fault.AfterTokens,
		cut:      s.takeLocked(func(f *Fault) *int { return &f.CutNext }),
		truncate: s.takeLocked(func(f *Fault) *int { return &f.TruncateNext }),
		late:     s.takeLocked(func(f *Fault) *int { return &f.LateNext }),
		pause:    time.Duration(s.fault.LateMillis) * time.Millisecond,
	}
}

// answer gives one sequence to its caller.
type answer struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	q       *sequence
	id      string
	strikes strikes
	sent    int // tokens
	whole   protocol.CompletionChoice
}

func (a *answer) relay() {
	for {
		select {
		case <-a.r.Context().Done():
			return
		case <-a.q.ready:
		}
		pieces, state := a.take()
		for _, piece := range pieces {
			if !a.giveAll(piece) {
				return
			}
		}
		if state == running || state == waiting {
			continue
		}
		a.finish(state)
		return
	}
}

func (a *answer) take() ([]protocol.CompletionChoice, state) {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	pieces := a.q.pieces
	a.q.pieces = nil
	return pieces, a.q.state
}

// giveAll sends a piece, in two parts when a fault strikes inside it; false when
// a fault ended the answer.
func (a *answer) giveAll(piece protocol.CompletionChoice) bool {
	for a.sent < a.strikes.after && a.sent+piece.Tokens > a.strikes.after {
		var first protocol.CompletionChoice
		first, piece = split(piece, a.strikes.after-a.sent)
		a.give(first)
	}
	if a.strike() {
		return false
	}
	a.give(piece)
	return true
}

// split divides a piece after a number of its tokens, each of which begins with
// a space.
func split(piece protocol.CompletionChoice, tokens int) (first, rest protocol.CompletionChoice) {
	words := strings.SplitAfterN(piece.Text[1:], " ", tokens+1)
	at := len(piece.Text) - len(words[tokens]) - 1
	first, rest = piece, piece
	first.Text, first.Tokens, first.FinishReason = piece.Text[:at], tokens, ""
	rest.Text, rest.Tokens = piece.Text[at:], piece.Tokens-tokens
	return first, rest
}

// strike applies the faults that are due; true when one ends the answer.
func (a *answer) strike() bool {
	if a.sent < a.strikes.after {
		return false
	}
	if a.strikes.cut {
		panic(http.ErrAbortHandler)
	}
	if a.strikes.late {
		a.strikes.late = false
		a.server.sleep(a.strikes.pause)
	}
	return a.strikes.truncate
}

func (a *answer) give(piece protocol.CompletionChoice) {
	a.sent += piece.Tokens
	if a.q.request.Stream {
		a.event(piece)
	} else {
		a.collect(piece)
	}
}

func (a *answer) collect(piece protocol.CompletionChoice) {
	a.whole.Text += piece.Text
	a.whole.Tokens += piece.Tokens
	a.whole.WeightVersion = piece.WeightVersion
	a.whole.FinishReason = piece.FinishReason
}

func (a *answer) event(piece protocol.CompletionChoice) {
	if a.w.Header().Get("Content-Type") == "" {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set(protocol.HeaderRequestID, a.id)
	}
	data, err := json.Marshal(a.chunk(piece))
	if err != nil {
		panic(err) // chunks are plain structs
	}
	a.line(string(data))
}

func (a *answer) chunk(choice protocol.CompletionChoice) protocol.CompletionChunk {
	return protocol.CompletionChunk{ID: a.id, Model: a.q.request.Model, Choices: []protocol.CompletionChoice{choice}}
}

func (a *answer) line(data string) {
	// A failed write means that the caller is gone; its context tells the relay.
	_, _ = a.w.Write([]byte("data: " + data + "\n\n"))
	_ = http.NewResponseController(a.w).Flush()
}

// finish ends the answer. A failed one is cut off, or refused as not run when
// it never begun.
func (a *answer) finish(state state) {
	switch {
	case state == finished && a.strike():
	case state == refused && !a.server.isDead():
		refuse(a.w, http.StatusServiceUnavailable)
	case state != finished:
		panic(http.ErrAbortHandler)
	case a.q.request.Stream:
		a.line(protocol.StreamEnd)
	default:
		a.whole.Spans = a.q.spans
		a.w.Header().Set(protocol.HeaderRequestID, a.id)
		jsonhttp.Write(a.w, http.StatusOK, a.chunk(a.whole))
	}
}
