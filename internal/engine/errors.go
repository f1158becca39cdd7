package engine

import "github.com/joomcode/errorx"

// Errors of the sending side, towards engines and plain services. They tell
// what is known about whether the work ran.
var (
	Errors = errorx.NewNamespace("endpoint")
	// ErrNotSent: no byte of the request can have reached the endpoint.
	ErrNotSent = Errors.NewType("not_sent")
	// ErrNotRun: the endpoint itself said that it did not run the request.
	ErrNotRun = Errors.NewType("not_run")
	// ErrLeaving: like ErrNotRun, because the endpoint is leaving.
	ErrLeaving = Errors.NewType("leaving")
	// ErrBroken: the answer ended before its end marker; the work may have run.
	ErrBroken = Errors.NewType("broken")
	// ErrStalled: no progress for the stall timeout; the work may have run.
	ErrStalled = Errors.NewType("stalled")
	// ErrFailed: the endpoint answered with a failure; the work may have run.
	ErrFailed = Errors.NewType("failed")
	// ErrRejected: the endpoint answered that the request itself is wrong.
	ErrRejected = Errors.NewType("rejected")
	// ErrForeign: the answer belongs to another request.
	ErrForeign = Errors.NewType("foreign_answer")
	// ErrCanceled: this side gave the call up.
	ErrCanceled = Errors.NewType("canceled")
)
