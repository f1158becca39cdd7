package step

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Generator generates samples on endpoints that it selects.
type Generator interface {
	// Generate returns the complete sample, including the text in Resume. It stops
	// when ctx ends. Errors of the request layer that are caused by the request
	// itself (ErrInvalid, ErrSuspect) are final. After ErrUnusable the sample is retried
	// from its beginning, and after any other error from the pieces that were passed to
	// Progress.
	Generate(ctx context.Context, req GenerateRequest) (Generation, error)
}

// GenerateRequest is a request to generate one sample.
type GenerateRequest struct {
	Trainer string
	Step    int64
	ID      wire.SampleID
	Model   string
	Class   string
	Tenant  string
	Prompt  string
	// MaxTokens is the maximum length of the sample, including the tokens in Resume.
	MaxTokens int
	Seed      int64
	// Resume is what earlier attempts generated; generation continues after it.
	Resume Partial
	// MinVersion is the lowest weight version whose tokens are within the staleness bound.
	MinVersion int64
	// Urgency is the fraction of the step's samples that are finished, 0 to 1. The
	// last samples of a step delay the whole step and so are the most urgent.
	Urgency float64
	// Deadline is the deadline of the step.
	Deadline time.Time
	// Progress must be called with each new piece, in order, from the goroutine that
	// runs Generate.
	Progress func(Piece)
}

// Generation is the result of generating a complete sample.
type Generation struct {
	Text         string
	FinishReason string
	Spans        []wire.Span
}

// Piece is a run of new tokens of one weight version.
type Piece struct {
	Text          string
	Tokens        int
	WeightVersion int64
}

// Partial is the generated part of an unfinished sample.
type Partial struct {
	Text   string
	Tokens int
	Spans  []wire.Span
}

// AppendSpan appends tokens of a weight version to spans. It extends the last span
// if that has the same version.
func AppendSpan(spans []wire.Span, version int64, tokens int) []wire.Span {
	if tokens <= 0 {
		return spans
	}
	if last := len(spans) - 1; last >= 0 && spans[last].WeightVersion == version {
		spans[last].Tokens += tokens
		return spans
	}
	return append(spans, wire.Span{WeightVersion: version, Tokens: tokens})
}
