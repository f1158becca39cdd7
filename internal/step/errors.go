package step

import "github.com/joomcode/errorx"

// Errors of the step layer.
var (
	Errors = errorx.NewNamespace("step")
	// ErrInvalid means that the call or specification is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrUnknownStep means that the owner has no specification of the step.
	ErrUnknownStep = Errors.NewType("unknown_step")
	// ErrNotOwner means that this entry does not own the step. The property propHolder may name
	// the entry that does.
	ErrNotOwner = Errors.NewType("not_owner")
	// ErrConflict means that the step exists with a different specification.
	ErrConflict = Errors.NewType("conflict")
	// ErrSuperseded means that a newer pull of the step was received.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrExpired means that the stored reply contains a sample that exceeds the staleness bound.
	ErrExpired = Errors.NewType("expired")
	// ErrDeadline means that the step's deadline passed and it no longer makes progress.
	ErrDeadline = Errors.NewType("deadline")
	// ErrDraining means that the entry is shutting down and accepts no new steps.
	ErrDraining = Errors.NewType("draining", errorx.Temporary())
	// ErrUnusable means that the pieces which were generated are not part of the sample.
	ErrUnusable = Errors.NewType("unusable", errorx.Temporary())
	// ErrUnreachable means that no entry that may own the step could be reached.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())
	// ErrShort means that there is no memory for the call; nothing was done.
	ErrShort = Errors.NewType("short", errorx.Temporary())

	propHolder   = errorx.RegisterProperty("holder")
	propLastPull = errorx.RegisterProperty("last_pull")
)

// holderOf returns the ID of the holder in an ErrNotOwner, or "" if there is none.
func holderOf(err error) string {
	cast := errorx.Cast(err)
	if cast == nil {
		return ""
	}
	holder, _ := cast.Property(propHolder)
	id, _ := holder.(string)
	return id
}

// lastPullOf returns the highest pull number in an ErrSuperseded, or zero if there
// is none.
func lastPullOf(err error) int64 {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0
	}
	value, _ := cast.Property(propLastPull)
	last, _ := value.(int64)
	return last
}
