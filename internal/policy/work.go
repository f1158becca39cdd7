// Package policy implements the decisions about work: which endpoint runs it, in what
// order, and whether it is hedged or retried. Decisions depend only on their arguments,
// the current time and a random source, so that they can be tested and replayed. Package
// naive implements a baseline version of each decision.
package policy

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Work describes one request to the decisions.
type Work struct {
	Class  string
	Tenant string
	// Model is the requested model or application.
	Model string
	Kind  endpoint.Kind
	// ExpectedTokens is the predicted length of the answer; a call of a
	// service counts as one token.
	ExpectedTokens int
	// Prefix is a hash of the leading part of the prompt; zero disables affinity.
	Prefix uint64
	// Deadline is when the complete answer is due; zero means no deadline.
	Deadline time.Time
	// MinVersion is the lowest weight version that may answer; zero accepts any.
	MinVersion int64
	// Exclusive requests must not share their endpoint with any other request.
	Exclusive bool
	// Interactive requests have a caller that is waiting for the answer.
	Interactive bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// AllowLate requests prefer a late answer to a refusal, like the samples of a step.
	AllowLate bool
	// Waited is how long the request waited for an eligible endpoint after its admission.
	// This time is not counted as execution time.
	Waited time.Duration
	// Excluded lists the IDs of endpoints that must not be picked.
	Excluded []string
}

// interactiveLateness is the longest lateness of an interactive class.
const interactiveLateness = 10 * time.Second

// Interactive reports whether the class is interactive: its answers are due within
// interactiveLateness.
func Interactive(c class.Class) bool {
	return c.Lateness > 0 && c.Lateness <= interactiveLateness
}

// tokens returns the expected length in tokens, at least one.
func (w *Work) tokens() float64 {
	return float64(max(w.ExpectedTokens, 1))
}
