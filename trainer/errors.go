package trainer

import "github.com/joomcode/errorx"

// Errors of the client.
var (
	Errors = errorx.NewNamespace("trainer")
	// ErrRejected: the service finds the call malformed.
	ErrRejected = Errors.NewType("rejected")
	// ErrConflict: the step exists with another specification.
	ErrConflict = Errors.NewType("conflict")
	// ErrDeadline: the step's deadline passed and it gets on no more.
	ErrDeadline = Errors.NewType("deadline")
	// ErrSuperseded: a newer weight version was accepted before.
	ErrSuperseded = Errors.NewType("superseded")

	// errRetry: the call may be repeated as it is.
	errRetry = Errors.NewType("retry", errorx.Temporary())
	// errUnknownStep: the owner asks for the specification.
	errUnknownStep = Errors.NewType("unknown_step")
	// errNextPull: go on with the next pull number.
	errNextPull = Errors.NewType("next_pull")

	propLastPull   = errorx.RegisterProperty("last_pull")
	propRetryAfter = errorx.RegisterProperty("retry_after")
)
