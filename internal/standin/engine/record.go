package engine

import (
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/journal"
)

// Event is what a record tells.
type Event string

// Happenings. A request that never begun did not run.
const (
	Received  Event = "received"
	Begun     Event = "begun"
	Finished  Event = "finished"
	Cancelled Event = "cancelled"
	Failed    Event = "failed"
	Staged    Event = "staged"
	Activated Event = "activated"
	Broken    Event = "broken"
	Crashed   Event = "crashed"
)

// Record is one line of the journal, which is the truth of what the engine did.
type Record struct {
	At    time.Time `json:"at"`
	Event Event     `json:"happening"`
	// RequestID is the X-Request-Id of the attempt.
	RequestID    string `json:"request_id,omitempty"`
	Prompt       string `json:"prompt,omitempty"`
	Seed         int64  `json:"seed,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	// Spans are the tokens that were truly generated, by weight version.
	Spans []protocol.Span `json:"spans,omitempty"`
	// Version and Fence are those of a weight order.
	Version int64 `json:"version,omitempty"`
	Fence   int64 `json:"fence,omitempty"`
}

func recordOf(happening Event, q *sequence) Record {
	return Record{
		At:           time.Now(),
		Event:        happening,
		RequestID:    q.id,
		Prompt:       q.request.Prompt,
		Seed:         q.request.Seed,
		Priority:     q.request.Priority,
		MaxTokens:    q.request.MaxTokens,
		ResumeTokens: q.request.ResumeTokens,
		Spans:        append([]protocol.Span(nil), q.spans...),
	}
}

// ReadJournal returns the records of a journal's file.
func ReadJournal(path string) ([]Record, error) {
	return journal.ReadFile[Record](path)
}
