package rollout

import "github.com/joomcode/errorx"

// Errors of the rollout layer.
var (
	Errors = errorx.NewNamespace("rollout")
	// ErrInvalid means that the rollout is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrSuperseded means that a newer version has been accepted.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrUnavailable means that the key-value service did not store the rollout.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown means that the rollout may have been accepted.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())

	// errLost means that the entry no longer owns the rollout.
	errLost = Errors.NewType("lost")
)
