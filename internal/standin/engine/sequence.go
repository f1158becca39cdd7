package engine

import (
	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
)

// sequence is the generation state of one request. The server's mutex guards base and
// the fields after it.
type sequence struct {
	request      protocol.CompletionRequest
	id           string
	arrival      int64
	length       int
	finishReason string
	// ready receives a value when there are new pieces or the sequence has ended.
	ready chan struct{}

	base     uint64
	position int
	pieces   []protocol.CompletionChoice
	spans    []protocol.Span
	state    state
}

type state int

const (
	waiting state = iota
	running
	finished
	cancelled
	refused // ended before it began
	failed
)

func newSequence(id string, request protocol.CompletionRequest, arrival int64) *sequence {
	length, finishReason := Length(request.Prompt, request.MaxTokens)
	return &sequence{
		request:      request,
		id:           id,
		arrival:      arrival,
		length:       length,
		finishReason: finishReason,
		ready:        make(chan struct{}, 1),
		base:         Base(request.Model, request.Prompt, request.Seed),
		position:     request.ResumeTokens,
	}
}

// precedes reports whether q runs before other: by lower priority number, then by
// earlier arrival.
func (q *sequence) precedes(other *sequence) bool {
	if q.request.Priority != other.request.Priority {
		return q.request.Priority < other.request.Priority
	}
	return q.arrival < other.arrival
}

// generate generates one token with a weight version, and ends the sequence if it is
// complete.
func (q *sequence) generate(version int64) {
	if q.position < q.length {
		q.add(Token(q.base, q.position, version), version)
		q.position++
	}
	if q.position >= q.length {
		q.end(finished)
	}
	q.notify()
}

// add appends a token to the spans and the pending pieces. Consecutive tokens of one
// weight version are merged.
func (q *sequence) add(text string, version int64) {
	if last := len(q.spans) - 1; last >= 0 && q.spans[last].WeightVersion == version {
		q.spans[last].Tokens++
	} else {
		q.spans = append(q.spans, protocol.Span{WeightVersion: version, Tokens: 1})
	}
	if last := len(q.pieces) - 1; last >= 0 && q.pieces[last].WeightVersion == version {
		q.pieces[last].Text += text
		q.pieces[last].Tokens++
		return
	}
	q.pieces = append(q.pieces, protocol.CompletionChoice{Text: text, Tokens: 1, WeightVersion: version})
}

// end sets the final state. For a finished sequence, end also sets the finish reason of
// the last piece, but leaves notifying the reader to generate.
func (q *sequence) end(state state) {
	q.state = state
	if state != finished {
		q.notify()
		return
	}
	if len(q.pieces) == 0 {
		q.pieces = append(q.pieces, protocol.CompletionChoice{})
	}
	q.pieces[len(q.pieces)-1].FinishReason = q.finishReason
}

// notify signals the reader of the sequence without blocking.
func (q *sequence) notify() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
