package measure

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// errMoveSample ends an attempt whose sample continues on another engine.
var errMoveSample = errors.New("sample moved to another engine")

// completeMoving generates a sample, and moves it to another engine when the straggler
// detector reports it as a straggler.
func (t *Testbed) completeMoving(ctx context.Context, e *Entry, completion *dispatch.Completion) (dispatch.Progress, dispatch.Effort, error) {
	work := &policy.Work{Class: completion.Class.Name, Model: model}
	progress := e.stragglers.Track(work)
	started := time.Now()
	for {
		moving := false
		tokens := completion.Resume.Tokens
		completion.OnPiece = func(piece engine.CompletionChoice) error {
			tokens += piece.Tokens
			if piece.FinishReason == "" && progress.ObserveToken(time.Now(), tokens) {
				moving = true
				return errMoveSample
			}
			return nil
		}
		answer, effort, err := e.Dispatcher.Complete(ctx, completion)
		if !moving {
			if err == nil {
				e.stragglers.ObserveSample(work, answer.Tokens, time.Since(started))
			}
			return answer, effort, err
		}
		t.Moves.Add(1)
		completion.Resume = answer
		completion.Class = t.classes[classStraggler]
		completion.AllowLate = false
		completion.Arrived = time.Now()
	}
}
