// Package ownership selects one entry as the owner of each unit of work (a step,
// a weight rollout, a partition of claims) and confirms the choice with a lease in
// the platform's key-value service.
package ownership

import (
	"context"

	"github.com/joomcode/errorx"
)

// Tenure is one confirmed period of owning a unit.
type Tenure struct {
	Unit string
	// Epoch is the creation revision of the unit's key. It is the fencing number
	// of everything that the owner writes or commands, and increases with each
	// change of owner.
	Epoch int64
}

// Owner acquires, checks and releases units on behalf of its entry.
type Owner interface {
	// Acquire returns the tenure of a unit and acquires the unit first if it is
	// free. It fails with ErrHeldElsewhere while another entry holds the unit, and
	// with ErrUnavailable when the platform's service cannot confirm the ownership.
	Acquire(ctx context.Context, unit string) (Tenure, error)
	// Valid reports whether the tenure is certainly still in force: the lease was
	// renewed recently enough that it cannot have expired, with a margin. It makes
	// no call and is safe for concurrent use.
	Valid(tenure Tenure) bool
	// Release releases a unit, so that the next owner need not wait for the lease
	// to expire.
	Release(ctx context.Context, unit string) error
}

// Errors of the ownership layer.
var (
	Errors = errorx.NewNamespace("ownership")
	// ErrHeldElsewhere means that another entry holds the unit; HolderOf names it.
	ErrHeldElsewhere = Errors.NewType("held_elsewhere")
	// ErrUnavailable means that the platform's service cannot confirm ownership now.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())

	propHolder = errorx.RegisterProperty("holder")
)

// HeldElsewhere returns an ErrHeldElsewhere that carries the holder's name.
func HeldElsewhere(unit, holder string) *errorx.Error {
	return ErrHeldElsewhere.New("unit %q is held by %q", unit, holder).WithProperty(propHolder, holder)
}

// HolderOf returns the entry that holds the unit, or "" if err names none.
func HolderOf(err error) string {
	cast := errorx.Cast(err)
	if cast == nil {
		return ""
	}
	holder, _ := cast.Property(propHolder)
	id, _ := holder.(string)
	return id
}
