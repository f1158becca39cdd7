// Package duty makes the calls that one node at a time may make to the platform's
// management interface on a subject. The node that owns the unit of the subject holds the
// duty, which is a lease; the epoch of its ownership is the generation number that its calls
// carry as a fencing token.
package duty

import (
	"context"

	"github.com/joomcode/errorx"
)

// Credentials identify the holder of a duty in its calls.
type Credentials struct {
	// Holder is the name of the node that holds the duty.
	Holder string
	// Generation is the fencing token: it increases whenever the holder changes.
	Generation int64
}

// Errors of duties and of the calls to the management interface.
var (
	Errors = errorx.NewNamespace("duty")
	// ErrNotHeld means that this node does not hold the duty now, or may not make calls yet;
	// no call was made.
	ErrNotHeld = Errors.NewType("not_held", errorx.Temporary())
	// ErrOverRate means that the management interface refused the call because of its rate
	// limit; nothing was done.
	ErrOverRate = Errors.NewType("over_rate", errorx.Temporary())
	// ErrSuperseded means that the management interface has seen a call of a later holder;
	// nothing was done.
	ErrSuperseded = Errors.NewType("superseded")
	// ErrRefused means that the management interface cannot do what was asked for now;
	// nothing was done.
	ErrRefused = Errors.NewType("refused", errorx.Temporary())
	// ErrUnavailable means that the management interface was not reached; nothing was done.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown means that the call may have taken effect, or may do so later.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
)

// Tenure is the lease of one node on a duty.
type Tenure interface {
	// Do makes one call with the holder's credentials. It returns ErrNotHeld without a call
	// if this node may not make one now.
	Do(ctx context.Context, call func(ctx context.Context, credentials Credentials) error) error
}
