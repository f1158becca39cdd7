package step

import "github.com/joomcode/errorx"

// Errors of the step layer.
var (
	Errors = errorx.NewNamespace("step")
	// ErrInvalid: the call or specification is malformed.
	ErrInvalid = Errors.NewType("invalid")
	// ErrUnknownStep: the owner does not know the step.
	ErrUnknownStep = Errors.NewType("unknown_step")
	// ErrNotOwner: this entry does not own the step. It may carry the holder.
	ErrNotOwner = Errors.NewType("not_owner")
	// ErrConflict: the step exists with another specification.
	ErrConflict = Errors.NewType("conflict")
	// ErrSuperseded: a newer pull of the step was seen.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrExpired: the stored reply holds a sample that is over the bound.
	ErrExpired = Errors.NewType("expired")
	// ErrDeadline: the step's deadline passed and it gets on no more.
	ErrDeadline = Errors.NewType("deadline")
	// ErrDraining: the entry takes no new steps.
	ErrDraining = Errors.NewType("draining", errorx.Temporary())
	// ErrUnreachable: no entry that could own the step was reached.
	ErrUnreachable = Errors.NewType("unreachable", errorx.Temporary())

	propHolder   = errorx.RegisterProperty("holder")
	propLastPull = errorx.RegisterProperty("last_pull")
)

// holderOf returns the entry that an ErrNotOwner names, or "".
func holderOf(err error) string {
	cast := errorx.Cast(err)
	if cast == nil {
		return ""
	}
	holder, _ := cast.Property(propHolder)
	id, _ := holder.(string)
	return id
}

// lastPullOf returns the highest pull that an ErrSuperseded names, or zero.
func lastPullOf(err error) int64 {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0
	}
	value, _ := cast.Property(propLastPull)
	last, _ := value.(int64)
	return last
}
