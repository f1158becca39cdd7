package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// complete serves a completion request.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var request protocol.CompletionRequest
	if !jsonhttp.Read(w, r, &request) {
		return
	}
	if request.Model != s.options.Model {
		refuse(w, http.StatusNotFound)
		return
	}
	if s.takeFailure() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.refusesNewWork() {
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
	a.faults = s.takeStreamFaults()
	a.relay()
}

// refuse answers with the given status and marks the request as not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(protocol.HeaderOutcome, protocol.OutcomeNotRun)
	w.WriteHeader(status)
}

// takeFailure reports whether a completion must fail, and decrements FailNext if it
// is set.
func (s *Server) takeFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Fail || s.takeFaultLocked(func(f *Fault) *int { return &f.FailNext })
}

// refusesNewWork reports whether the engine refuses new requests because it is
// leaving.
func (s *Server) refusesNewWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && !s.fault.AcceptWhileLeaving
}

// submit queues a request. It returns nil if the engine accepts no requests.
func (s *Server) submit(id string, request protocol.CompletionRequest) *sequence {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.takeFaultLocked(func(f *Fault) *int { return &f.RefuseNext })
	if refused || s.weights.Broken || s.crashed {
		return nil
	}
	s.arrivals++
	q := newSequence(id, request, s.arrivals)
	s.waiting = append(s.waiting, q)
	s.journal.Append(newRecord(Received, q))
	s.wakeLoop()
	return q
}

// answerID returns the request identifier to send with the answer to request id. With
// the MixUpNext fault, that is a wrong one, derived from the previous request.
func (s *Server) answerID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	previousID := s.lastID
	s.lastID = id
	if s.takeFaultLocked(func(f *Fault) *int { return &f.MixUpNext }) {
		return "mixed-up-" + previousID
	}
	return id
}

// streamFaults are the faults that apply to one answer after afterTokens tokens.
type streamFaults struct {
	afterTokens         int
	cut, truncate, late bool
	pause               time.Duration
}

// takeStreamFaults returns the faults of the next answer and decrements their counters.
func (s *Server) takeStreamFaults() streamFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamFaults{
		afterTokens: s.fault.AfterTokens,
		cut:         s.takeFaultLocked(func(f *Fault) *int { return &f.CutNext }),
		truncate:    s.takeFaultLocked(func(f *Fault) *int { return &f.TruncateNext }),
		late:        s.takeFaultLocked(func(f *Fault) *int { return &f.LateNext }),
		pause:       time.Duration(s.fault.LateMillis) * time.Millisecond,
	}
}

// answer sends the output of one sequence to its caller.
type answer struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	q         *sequence
	id        string
	faults    streamFaults
	sent      int // number of tokens
	collected protocol.CompletionChoice
}

// relay sends the pieces of the sequence as they are generated, until the sequence
// ends, the caller disconnects or a fault ends the answer.
func (a *answer) relay() {
	for {
		select {
		case <-a.r.Context().Done():
			return
		case <-a.q.ready:
		}
		pieces, state := a.drainPieces()
		for _, piece := range pieces {
			if !a.sendWithFaults(piece) {
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

// drainPieces removes and returns the pending pieces, with the state of the sequence.
func (a *answer) drainPieces() ([]protocol.CompletionChoice, state) {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	pieces := a.q.pieces
	a.q.pieces = nil
	return pieces, a.q.state
}

// sendWithFaults sends a piece, split in two if the fault position is inside it. It
// returns false if a fault ended the answer.
func (a *answer) sendWithFaults(piece protocol.CompletionChoice) bool {
	for a.sent < a.faults.afterTokens && a.sent+piece.Tokens > a.faults.afterTokens {
		var first protocol.CompletionChoice
		first, piece = split(piece, a.faults.afterTokens-a.sent)
		a.send(first)
	}
	if a.applyFaults() {
		return false
	}
	a.send(piece)
	return true
}

// split divides a piece after the given number of tokens. Each token begins with a
// space.
func split(piece protocol.CompletionChoice, tokens int) (first, rest protocol.CompletionChoice) {
	words := strings.SplitAfterN(piece.Text[1:], " ", tokens+1)
	index := len(piece.Text) - len(words[tokens]) - 1
	first, rest = piece, piece
	first.Text, first.Tokens, first.FinishReason = piece.Text[:index], tokens, ""
	rest.Text, rest.Tokens = piece.Text[index:], piece.Tokens-tokens
	return first, rest
}

// applyFaults applies the faults once afterTokens tokens have been sent. It returns
// true if the answer must end without an end marker.
func (a *answer) applyFaults() bool {
	if a.sent < a.faults.afterTokens {
		return false
	}
	if a.faults.cut {
		panic(http.ErrAbortHandler)
	}
	if a.faults.late {
		a.faults.late = false
		a.server.sleep(a.faults.pause)
	}
	return a.faults.truncate
}

func (a *answer) send(piece protocol.CompletionChoice) {
	a.sent += piece.Tokens
	if a.q.request.Stream {
		a.sendEvent(piece)
	} else {
		a.collect(piece)
	}
}

// collect appends a piece to the answer of a request without streaming.
func (a *answer) collect(piece protocol.CompletionChoice) {
	a.collected.Text += piece.Text
	a.collected.Tokens += piece.Tokens
	a.collected.WeightVersion = piece.WeightVersion
	a.collected.FinishReason = piece.FinishReason
}

// sendEvent sends a piece as one server-sent event.
func (a *answer) sendEvent(piece protocol.CompletionChoice) {
	if a.w.Header().Get("Content-Type") == "" {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set(protocol.HeaderRequestID, a.id)
	}
	data, err := json.Marshal(a.chunk(piece))
	if err != nil {
		panic(err) // unreachable: chunks are plain structs
	}
	a.writeEvent(string(data))
}

func (a *answer) chunk(choice protocol.CompletionChoice) protocol.CompletionChunk {
	return protocol.CompletionChunk{ID: a.id, Model: a.q.request.Model, Choices: []protocol.CompletionChoice{choice}}
}

// writeEvent writes the data of one server-sent event and flushes it.
func (a *answer) writeEvent(data string) {
	// A failed write means that the caller disconnected. relay returns when the
	// request's context is canceled, so the error is ignored.
	_, _ = a.w.Write([]byte("data: " + data + "\n\n"))
	_ = http.NewResponseController(a.w).Flush()
}

// finish ends the answer according to the state of the sequence. A failed sequence
// closes the connection; one that never began is refused as not run.
func (a *answer) finish(state state) {
	switch {
	case state == finished && a.applyFaults():
	case state == refused && !a.server.isCrashed():
		refuse(a.w, http.StatusServiceUnavailable)
	case state != finished:
		panic(http.ErrAbortHandler)
	case a.q.request.Stream:
		a.writeEvent(protocol.StreamEnd)
	default:
		a.collected.Spans = a.q.spans
		a.w.Header().Set(protocol.HeaderRequestID, a.id)
		jsonhttp.Write(a.w, http.StatusOK, a.chunk(a.collected))
	}
}
