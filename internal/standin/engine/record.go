package engine

import (
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/journal"
)

// Event is the kind of event that a record describes.
type Event string

// Kinds of events. A request without a Begun event did not run.
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

// Record is one line of the journal. Tests compare the journal, which contains all
// that the engine did, with what callers received.
type Record struct {
	At    time.Time `json:"at"`
	Event Event     `json:"happening"`
	// RequestID is the value of the attempt's X-Request-Id header.
	RequestID    string `json:"request_id,omitempty"`
	Prompt       string `json:"prompt,omitempty"`
	Seed         int64  `json:"seed,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	// Spans are the numbers of tokens that the engine generated, by weight version.
	Spans []protocol.Span `json:"spans,omitempty"`
	// Version and Fence are the weight version and fencing number of an order.
	Version int64 `json:"version,omitempty"`
	Fence   int64 `json:"fence,omitempty"`
}

func newRecord(event Event, q *sequence) Record {
	return Record{
		At:           time.Now(),
		Event:        event,
		RequestID:    q.id,
		Prompt:       q.request.Prompt,
		Seed:         q.request.Seed,
		Priority:     q.request.Priority,
		MaxTokens:    q.request.MaxTokens,
		ResumeTokens: q.request.ResumeTokens,
		Spans:        append([]protocol.Span(nil), q.spans...),
	}
}

// ReadJournal returns the records of the journal file at path.
func ReadJournal(path string) ([]Record, error) {
	return journal.ReadFile[Record](path)
}
