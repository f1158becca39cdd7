package engine

import "github.com/joomcode/errorx"

// Errors of calls to engines and plain services. They state what is known about whether
// the work ran.
var (
	Errors = errorx.NewNamespace("endpoint")
	// ErrNotSent means that no byte of the request can have reached the endpoint.
	ErrNotSent = Errors.NewType("not_sent")
	// ErrNotRun means that the endpoint reported that it did not run the request.
	ErrNotRun = Errors.NewType("not_run")
	// ErrLeaving is like ErrNotRun, with the reason that the endpoint is leaving.
	ErrLeaving = Errors.NewType("leaving")
	// ErrBroken means that the answer was truncated or malformed; the work may have run.
	ErrBroken = Errors.NewType("broken")
	// ErrStalled means no progress within the stall timeout; the work may have run.
	ErrStalled = Errors.NewType("stalled")
	// ErrFailed means that the endpoint answered with a failure; the work may have run.
	ErrFailed = Errors.NewType("failed")
	// ErrRejected means that the endpoint answered that the request itself is invalid.
	ErrRejected = Errors.NewType("rejected")
	// ErrForeign means that the answer belongs to another request.
	ErrForeign = Errors.NewType("foreign_answer")
	// ErrOverlong means that the endpoint generated more than the request allows; the work runs.
	ErrOverlong = Errors.NewType("overlong")
	// ErrCanceled means that the caller canceled the call; the work may have run.
	ErrCanceled = Errors.NewType("canceled")
)
