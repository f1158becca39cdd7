package traffic

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// eventStream writes server-sent events of one completion.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	model   string
	// started is set once the headers have been written.
	started bool
}

// streamCompletion relays pieces as they arrive. The end marker is written only after the
// last piece of a complete answer.
func (s *Server) streamCompletion(ctx context.Context, w http.ResponseWriter, c *caller, completion *dispatch.Completion) {
	stream := &eventStream{w: w, control: http.NewResponseController(w), id: c.requestID, model: completion.Request.Model}
	intake.KeepReading(ctx)
	completion.OnPiece = func(piece engine.CompletionChoice) error {
		if !stream.started {
			s.options.Metrics.FirstToken(c.class.Name, c.tenant, s.now().Sub(c.arrived))
		}
		return stream.piece(piece)
	}
	_, effort, err := s.options.Dispatcher.Complete(ctx, completion)
	switch {
	case err == nil:
		stream.end()
		s.record(c, request.Answered, effort)
	case !stream.started:
		s.record(c, s.fail(w, c, err), effort)
	default:
		s.record(c, request.Unknown, effort)
		s.abort(c, stream, err)
	}
}

// abort reports to the caller of a stream that no complete answer will follow, and aborts the
// connection, so that the partial answer cannot be mistaken for a complete one.
func (s *Server) abort(c *caller, stream *eventStream, err error) {
	problem := c.problem(err)
	problem.Outcome = request.Unknown
	s.logFailure(c, problem, err)
	stream.problem(problem)
	panic(http.ErrAbortHandler)
}

func (e *eventStream) piece(piece engine.CompletionChoice) error {
	e.writeHeader()
	chunk := engine.CompletionChunk{ID: e.id, Model: e.model, Choices: []engine.CompletionChoice{piece}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return e.write("data: " + string(data) + "\n\n")
}

func (e *eventStream) writeHeader() {
	if e.started {
		return
	}
	e.started = true
	header := e.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventStream) write(text string) error {
	if _, err := e.w.Write([]byte(text)); err != nil {
		return err
	}
	return e.control.Flush()
}

// end writes the end marker. A failed write is ignored because it means that the caller has
// disconnected.
func (e *eventStream) end() {
	e.writeHeader()
	_ = e.write("data: " + engine.StreamEnd + "\n\n")
}

// problem writes an error event. A failed write is ignored because the connection is aborted
// afterwards.
func (e *eventStream) problem(problem request.Problem) {
	data, err := json.Marshal(problem)
	if err != nil {
		return
	}
	_ = e.write("event: error\ndata: " + string(data) + "\n\n")
}
