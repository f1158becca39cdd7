package queue

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of the queue layer. Work that fails with one of them has not started.
var (
	Errors = errorx.NewNamespace("queue")
	// ErrRefused means that the work cannot meet its deadline or was displaced by other
	// work.
	ErrRefused = Errors.NewType("refused")
	// ErrCanceled means that the request was canceled before the work started.
	ErrCanceled = Errors.NewType("canceled")

	propRetryAfter = errorx.RegisterProperty("queue_retry_after")
)

// minRetryAfter is the shortest retry delay reported to a refused caller.
const minRetryAfter = 100 * time.Millisecond

func refused(reason string, delay time.Duration) error {
	return ErrRefused.New("%s", reason).WithProperty(propRetryAfter, max(delay, minRetryAfter))
}

func canceled(ctx context.Context) error {
	return ErrCanceled.Wrap(context.Cause(ctx), "the request was canceled before the work started")
}

// RetryAfter returns the delay after which the caller should retry, and whether err
// contains one.
func RetryAfter(err error) (time.Duration, bool) {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0, false
	}
	value, ok := cast.Property(propRetryAfter)
	if !ok {
		return 0, false
	}
	delay, ok := value.(time.Duration)
	return delay, ok
}
