package entry

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// generator generates the samples of steps through the dispatcher.
type generator struct {
	dispatcher *dispatch.Dispatcher
	snapshots  *control.Snapshots
	stragglers policy.StragglerDetector
	record     func(sample *step.GenerateRequest, err error, elapsed time.Duration, effort dispatch.Effort)
}

// errMove ends an attempt whose sample is to continue at another endpoint.
var errMove = errors.New("sample is moved to another endpoint")

// Generate implements step.Generator. A straggler continues at another endpoint with
// the tokens generated so far, and is treated as interactive work there.
func (g *generator) Generate(ctx context.Context, sample step.GenerateRequest) (step.Generation, error) {
	class, known := g.snapshots.Load().Classes.Find(sample.Class)
	if !known {
		return step.Generation{}, request.ErrRefused.New("there is currently no class %q", sample.Class)
	}
	started := time.Now()
	work := &policy.Work{Class: sample.Class, Model: sample.Model}
	tracker := g.stragglers.Track(work)
	completion := newSample(&sample, class, started)
	for {
		moving := false
		completion.OnPiece = g.onPiece(&sample, tracker, completion.Resume.Tokens, &moving)
		done, effort, err := g.dispatcher.Complete(ctx, completion)
		if moving {
			completion.Resume, completion.Urgent, completion.Arrived = done, true, time.Now()
			continue
		}
		g.record(&sample, err, time.Since(started), effort)
		if effort.Unusable {
			return step.Generation{}, step.ErrUnusable.Wrap(err, "the text has no end")
		}
		if err != nil {
			return step.Generation{}, err
		}
		g.stragglers.ObserveSample(work, done.Tokens, time.Since(started))
		return step.Generation{Text: done.Text, FinishReason: done.FinishReason, Spans: wireSpans(done.Spans)}, nil
	}
}

// newSample returns the dispatcher's completion of a sample.
func newSample(sample *step.GenerateRequest, class class.Class, arrived time.Time) *dispatch.Completion {
	return &dispatch.Completion{
		Call: dispatch.Call{
			RequestID:   dispatch.NewID(),
			Class:       class,
			Tenant:      sample.Tenant,
			Arrived:     arrived,
			Due:         sample.Deadline,
			MinVersion:  sample.MinVersion,
			Idempotent:  true,
			AllowLate:   true,
			Fingerprint: dispatch.FingerprintOf(sample.Model, sample.Prompt),
		},
		Request: engine.CompletionRequest{
			Model:     sample.Model,
			Prompt:    sample.Prompt,
			MaxTokens: sample.MaxTokens,
			Seed:      sample.Seed,
		},
		Resume: dispatch.Progress{Text: sample.Resume.Text, Tokens: sample.Resume.Tokens, Spans: engineSpans(sample.Resume.Spans)},
	}
}

// onPiece returns a callback that reports pieces to the step. When the sample is to be
// moved, the callback sets moving and ends the attempt.
func (g *generator) onPiece(sample *step.GenerateRequest, tracker *policy.SampleTracker, tokens int, moving *bool) func(engine.CompletionChoice) error {
	return func(piece engine.CompletionChoice) error {
		if piece.FinishReason == "" && tracker.ObserveToken(time.Now(), tokens+piece.Tokens) {
			*moving = true
			return errMove
		}
		tokens += piece.Tokens
		sample.Progress(step.Piece{Text: piece.Text, Tokens: piece.Tokens, WeightVersion: piece.WeightVersion})
		return nil
	}
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
