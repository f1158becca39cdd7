package queue

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of the queue layer. Work that got one of them has not started.
var (
	Errors = errorx.NewNamespace("queue")
	// ErrRefused: the work cannot be in time, or gave way to other work.
	ErrRefused = Errors.NewType("refused")
	// ErrCanceled: the caller went before the work started.
	ErrCanceled = Errors.NewType("canceled")

	propRetryAfter = errorx.RegisterProperty("queue_retry_after")
)

// minRetryAfter is the shortest time after which a refused caller is told to
// come back.
const minRetryAfter = 100 * time.Millisecond

func refused(reason string, after time.Duration) error {
	return ErrRefused.New("%s", reason).WithProperty(propRetryAfter, max(after, minRetryAfter))
}

func canceled(ctx context.Context) error {
	return ErrCanceled.Wrap(context.Cause(ctx), "the caller went before the work started")
}

// RetryAfter returns the time after which to come back, and whether err tells.
func RetryAfter(err error) (time.Duration, bool) {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0, false
	}
	value, ok := cast.Property(propRetryAfter)
	if !ok {
		return 0, false
	}
	after, ok := value.(time.Duration)
	return after, ok
}
