package measure

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// errMove ends an attempt whose sample is to go on elsewhere.
var errMove = errors.New("the sample moves")

// askMoving runs a sample, and moves it when it is a straggler.
func (w *World) askMoving(ctx context.Context, e *Entry, completion *dispatch.Completion) (dispatch.Progress, dispatch.Effort, error) {
	work := &policy.Work{Class: completion.Class.Name, Model: model}
	watch := e.mover.Track(work)
	started := time.Now()
	for {
		moving := false
		tokens := completion.Resume.Tokens
		completion.OnPiece = func(piece engine.CompletionChoice) error {
			tokens += piece.Tokens
			if piece.FinishReason == "" && watch.ObserveToken(time.Now(), tokens) {
				moving = true
				return errMove
			}
			return nil
		}
		answer, effort, err := e.Dispatcher.Complete(ctx, completion)
		if !moving {
			if err == nil {
				e.mover.ObserveSample(work, answer.Tokens, time.Since(started))
			}
			return answer, effort, err
		}
		w.Moves.Add(1)
		completion.Resume = answer
		completion.Class = w.classes[classStraggler]
		completion.AllowLate = false
		completion.Arrived = time.Now()
	}
}
