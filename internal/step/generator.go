package step

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Generator generates one sample on an endpoint of its choice.
type Generator interface {
	// Generate returns the whole sample, with what Resume brought. It stops
	// when ctx ends. Errors of the request layer that blame the request itself
	// (ErrInvalid, ErrSuspect) are final; after any other the sample is tried
	// again with the pieces that Progress was told.
	Generate(ctx context.Context, req GenerateRequest) (Generation, error)
}

// GenerateRequest asks for one sample.
type GenerateRequest struct {
	Trainer string
	Step    int64
	ID      wire.SampleID
	Model   string
	Class   string
	Tenant  string
	Prompt  string
	// MaxTokens bounds the sample; the tokens of Resume count.
	MaxTokens int
	Seed      int64
	// Resume is what was generated already; generation goes on after it.
	Resume Partial
	// MinVersion is the lowest weight version whose tokens are of use now.
	MinVersion int64
	// Urgency is the share of the step's samples that are done, 0 to 1: at the
	// end of a step each one left is a straggler.
	Urgency float64
	// Deadline is when the step is due.
	Deadline time.Time
	// Progress must be called with each piece in order, from the goroutine of
	// Generate.
	Progress func(Piece)
}

// Generation is a whole sample.
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

// Partial is the beginning of a sample.
type Partial struct {
	Text   string
	Tokens int
	Spans  []wire.Span
}

// AppendSpan adds tokens of a version to spans, joining runs of one version.
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
