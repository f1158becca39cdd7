// Package ownership picks one entry to own each unit of work (a step, a weight
// rollout, a partition of claims) and confirms it with a lease of the
// platform's key-value service.
package ownership

import (
	"context"

	"github.com/joomcode/errorx"
)

// Tenure is a confirmed ownership of one unit.
type Tenure struct {
	Unit string
	// Epoch is the creation revision of the lease's key. It is the fencing
	// number of everything that the owner writes or orders, and rises with
	// each change of owner.
	Epoch int64
}

// Owner confirms ownership for its entry.
type Owner interface {
	// Acquire returns the tenure of a unit, taking the unit if it is free. It
	// fails with ErrHeldElsewhere while another entry's lease stands, and with
	// ErrUnavailable when the platform's service cannot confirm.
	Acquire(ctx context.Context, unit string) (Tenure, error)
	// Valid reports whether the tenure surely still holds: the lease was
	// renewed so lately that it cannot have lapsed, with a margin. It makes no
	// call and is safe for concurrent use.
	Valid(tenure Tenure) bool
	// Release gives a unit up, so that a successor need not wait.
	Release(ctx context.Context, unit string) error
}

// Errors of the ownership layer.
var (
	Errors = errorx.NewNamespace("ownership")
	// ErrHeldElsewhere: another entry holds the unit. HolderOf tells which.
	ErrHeldElsewhere = Errors.NewType("held_elsewhere")
	// ErrUnavailable: the platform's service cannot confirm now.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())

	propHolder = errorx.RegisterProperty("holder")
)

// HeldElsewhere returns an ErrHeldElsewhere that tells the holder.
func HeldElsewhere(unit, holder string) *errorx.Error {
	return ErrHeldElsewhere.New("unit %q is held by %q", unit, holder).WithProperty(propHolder, holder)
}

// HolderOf returns the entry that holds the unit, or "" when err does not tell.
func HolderOf(err error) string {
	cast := errorx.Cast(err)
	if cast == nil {
		return ""
	}
	holder, _ := cast.Property(propHolder)
	id, _ := holder.(string)
	return id
}
