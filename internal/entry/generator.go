package entry

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// generator generates the samples of steps through the dispatcher.
type generator struct {
	dispatcher *dispatch.Dispatcher
	snapshots  *control.Snapshots
	record     func(sample *step.GenerateRequest, err error, took time.Duration, effort dispatch.Effort)
}

// Generate implements step.Generator.
func (g *generator) Generate(ctx context.Context, sample step.GenerateRequest) (step.Generation, error) {
	class, known := g.snapshots.Load().Classes.Find(sample.Class)
	if !known {
		return step.Generation{}, request.ErrRefused.New("there is no class %q now", sample.Class)
	}
	arrived := time.Now()
	done, effort, err := g.dispatcher.Complete(ctx, &dispatch.Completion{
		Call: dispatch.Call{
			RequestID:   dispatch.NewID(),
			Class:       class,
			Tenant:      sample.Tenant,
			Arrived:     arrived,
			Due:         sample.Deadline,
			MinVersion:  sample.MinVersion,
			Idempotent:  true,
			Patient:     true,
			Fingerprint: dispatch.FingerprintOf(sample.Model, sample.Prompt),
		},
		Request: engine.CompletionRequest{
			Model:     sample.Model,
			Prompt:    sample.Prompt,
			MaxTokens: sample.MaxTokens,
			Seed:      sample.Seed,
		},
		Resume: dispatch.Progress{Text: sample.Resume.Text, Tokens: sample.Resume.Tokens, Spans: engineSpans(sample.Resume.Spans)},
		OnPiece: func(piece engine.CompletionChoice) error {
			sample.Progress(step.Piece{Text: piece.Text, Tokens: piece.Tokens, WeightVersion: piece.WeightVersion})
			return nil
		},
	})
	g.record(&sample, err, time.Since(arrived), effort)
	if err != nil {
		return step.Generation{}, err
	}
	return step.Generation{Text: done.Text, FinishReason: done.FinishReason, Spans: wireSpans(done.Spans)}, nil
}

func outcomeOf(err error) request.Outcome {
	if err == nil {
		return request.Answered
	}
	return request.ProblemOf(err).Outcome
}

func engineSpans(spans []wire.Span) []engine.Span {
	converted := make([]engine.Span, 0, len(spans))
	for _, span := range spans {
		converted = append(converted, engine.Span{WeightVersion: span.WeightVersion, Tokens: span.Tokens})
	}
	return converted
}

func wireSpans(spans []engine.Span) []wire.Span {
	converted := make([]wire.Span, 0, len(spans))
	for _, span := range spans {
		converted = append(converted, wire.Span{WeightVersion: span.WeightVersion, Tokens: span.Tokens})
	}
	return converted
}
