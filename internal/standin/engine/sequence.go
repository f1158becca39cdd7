package engine

import (
	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
)

// sequence is one request in the engine. The server's mutex guards its fields
// from base on.
type sequence struct {
	request protocol.CompletionRequest
	id      string
	arrival int64
	length  int
	finish  string
	// ready gets a value when there are new pieces or the sequence has ended.
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
	refused // ended before it begun
	failed
)

func newSequence(id string, request protocol.CompletionRequest, arrival int64) *sequence {
	length, finish := Length(request.Prompt, request.MaxTokens)
	return &sequence{
		request:  request,
		id:       id,
		arrival:  arrival,
		length:   length,
		finish:   finish,
		ready:    make(chan struct{}, 1),
		base:     Base(request.Model, request.Prompt, request.Seed),
		position: request.ResumeTokens,
	}
}

// before orders waiting sequences: by priority, then by arrival.
func (q *sequence) before(other *sequence) bool {
	if q.request.Priority != other.request.Priority {
		return q.request.Priority < other.request.Priority
	}
	return q.arrival < other.arrival
}

// generate makes one token with a weight version.
func (q *sequence) generate(version int64) {
	if q.position < q.length {
		q.add(Token(q.base, q.position, version), version)
		q.position++
	}
	if q.position >= q.length {
		q.end(finished)
	}
	q.wake()
}

// add appends a token to the pending pieces; neighbours of one version merge.
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

func (q *sequence) end(state state) {
	q.state = state
	if state != finished {
		q.wake()
		return
	}
	if len(q.pieces) == 0 {
		q.pieces = append(q.pieces, protocol.CompletionChoice{})
	}
	q.pieces[len(q.pieces)-1].FinishReason = q.finish
}

func (q *sequence) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
