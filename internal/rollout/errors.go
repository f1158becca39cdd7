package rollout

import "github.com/joomcode/errorx"

// Errors of the rollout layer.
var (
	Errors = errorx.NewNamespace("rollout")
	// ErrInvalid: the rollout is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrSuperseded: a newer version has been accepted.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrUnavailable: the key-value service did not store the rollout.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown: the rollout may have been accepted.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())

	// errLost: the entry no longer owns the rollout.
	errLost = Errors.NewType("lost")
)
