// Package engine holds the protocol of the model engines: an OpenAI-style
// completions interface with server-sent events, load reports and weight
// orders. The client that speaks it is in the same package.
package engine

import (
	"encoding/json"
	"time"
)

// Paths of an engine's interface.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/v1/load"
	PathWeights     = "/v1/weights"          // GET: WeightState
	PathStage       = "/v1/weights/stage"    // POST: WeightOrder
	PathActivate    = "/v1/weights/activate" // POST: WeightOrder
)

// Headers of an engine's interface.
const (
	// HeaderRequestID carries the entry's identifier of one attempt. Engines
	// echo it on the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderOutcome on an engine's or service's error answer says NotRun when
	// the request did not run there.
	HeaderOutcome = "X-Outcome"
	// HeaderLeaving, with any value, on an answer with OutcomeNotRun says that
	// the endpoint is leaving.
	HeaderLeaving = "X-Leaving"
	// OutcomeNotRun is the value of HeaderOutcome for work that did not run.
	OutcomeNotRun = "not-run"
)

// StreamEnd is the data of the last server-sent event of a whole stream.
const StreamEnd = "[DONE]"

// CompletionRequest is the body of POST PathCompletions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority: lower runs first, as in vLLM.
	Priority int   `json:"priority"`
	Seed     int64 `json:"seed"`
	// Resume holds text that was generated already; the engine goes on after it.
	Resume string `json:"resume,omitempty"`
	// ResumeTokens is the number of tokens in Resume; MaxTokens counts them too.
	ResumeTokens int `json:"resume_tokens,omitempty"`
	// Extra holds the caller's other fields; they go to the engine unchanged.
	Extra map[string]json.RawMessage `json:"-"`
}

// CompletionChunk is the data of one server-sent event, or, with Stream off,
// the whole body.
type CompletionChunk struct {
	ID      string             `json:"id"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
}

// CompletionChoice is a piece of generated text of one weight version.
type CompletionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
	// WeightVersion produced all tokens of Text.
	WeightVersion int64 `json:"weight_version"`
	// Spans is set on an answer that is not streamed: one span per version.
	Spans []Span `json:"spans,omitempty"`
	// FinishReason is "stop" or "length" on the last piece, else empty.
	FinishReason string `json:"finish_reason,omitempty"`
}

// Span is a run of tokens that one weight version produced.
type Span struct {
	WeightVersion int64 `json:"weight_version"`
	Tokens        int   `json:"tokens"`
}

// LoadReport is the body of GET PathLoad. It lags.
type LoadReport struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	Slots         int       `json:"slots"`
	CacheUsed     float64   `json:"cache_used"` // share of the KV cache, 0 to 1
	WeightVersion int64     `json:"weight_version"`
	Leaving       bool      `json:"leaving"`
	ReportedAt    time.Time `json:"reported_at"`
}

// WeightOrder is the body of a stage or activate order. It is absolute: "be at
// Version". An engine that checks fencing refuses a Fence below the highest it
// has seen with status 412.
type WeightOrder struct {
	Version int64 `json:"version"`
	Fence   int64 `json:"fence"`
	// Deadline: an engine that has not begun by then drops the order.
	Deadline time.Time `json:"deadline"`
}

// WeightState is the body of GET PathWeights and of answers to orders.
type WeightState struct {
	Active int64 `json:"active"`
	// Staged is the newest version held ready, or zero.
	Staged int64 `json:"staged"`
	Fence  int64 `json:"fence"`
	// Broken is set after a swap that failed partway; the engine then serves
	// nothing until an activate order succeeds.
	Broken bool `json:"broken"`
}
