package rollout

import "github.com/joomcode/errorx"

// Errors of the rollout layer.
var (
	Errors = errorx.NewNamespace("rollout")
	// ErrInvalid: the rollout is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrSuperseded: a newer version is accepted already.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrUnavailable: the platform's service did not take the rollout in.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown: the rollout may have been accepted.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())

	// errLost: the entry does not own the rollout any more.
	errLost = Errors.NewType("lost")
)
