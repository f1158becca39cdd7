// Package policy holds the decisions about work: which endpoint takes it, in
// what order, and whether it is hedged or retried. Decisions are functions of
// what they are given, of now and of a random source, so that they can be
// tested and replayed. Package naive holds the plain version of each.
package policy

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Work is what a decision may know of one request.
type Work struct {
	Class  string
	Tenant string
	// Model is the model or application that must serve it.
	Model string
	Kind  endpoint.Kind
	// ExpectedTokens is the predicted length of the answer; a call of a
	// service counts as one token.
	ExpectedTokens int
	// Prefix is a hash of the leading part of the prompt; zero is no affinity.
	Prefix uint64
	// Deadline is when the whole answer is due; zero is no deadline.
	Deadline time.Time
	// MinVersion is the lowest weight version that may answer; zero is any.
	MinVersion int64
	// Exclusive: no other request may run beside it on its endpoint.
	Exclusive bool
	// Interactive: someone waits for the answer.
	Interactive bool
	// Idempotent: it may run more than once.
	Idempotent bool
	// AllowLate: a late answer is better than a refusal (samples of a step).
	AllowLate bool
	// Waited is how long, once started, it waited for an endpoint that may take
	// it; that says nothing of how long such work takes.
	Waited time.Duration
	// Excluded holds the IDs of endpoints that must not be tried again.
	Excluded []string
}

// interactiveLateness is the longest lateness of a class that people wait on.
const interactiveLateness = 10 * time.Second

// Interactive reports whether someone waits for the answers of the class.
func Interactive(c class.Class) bool {
	return c.Lateness > 0 && c.Lateness <= interactiveLateness
}

// tokens returns the expected length, at least one.
func (w *Work) tokens() float64 {
	return float64(max(w.ExpectedTokens, 1))
}
