package trainer

import "github.com/joomcode/errorx"

// Errors that a Client returns.
var (
	Errors = errorx.NewNamespace("trainer")
	// ErrRejected means that the service rejected the call as malformed.
	ErrRejected = Errors.NewType("rejected")
	// ErrConflict means that the step exists with a different specification.
	ErrConflict = Errors.NewType("conflict")
	// ErrDeadline means that the step's deadline has passed and that the step makes
	// no further progress.
	ErrDeadline = Errors.NewType("deadline")
	// ErrSuperseded means that a newer weight version was accepted earlier.
	ErrSuperseded = Errors.NewType("superseded")

	// errRetry means that the same call can be retried.
	errRetry = Errors.NewType("retry", errorx.Temporary())
	// errUnknownStep means that the owner does not know the step and needs its
	// specification.
	errUnknownStep = Errors.NewType("unknown_step")
	// errNextPull means that the client must continue with a higher pull number.
	errNextPull = Errors.NewType("next_pull")

	propLastPull   = errorx.RegisterProperty("last_pull")
	propRetryAfter = errorx.RegisterProperty("retry_after")
)
