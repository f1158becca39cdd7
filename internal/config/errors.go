package config

import (
	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("config")
	// ErrInvalid means that the change is malformed and was not accepted.
	ErrInvalid = Errors.NewType("invalid")
	// ErrConflict means that another change was accepted first; this one was
	// not accepted and never will be. ConflictOf returns both.
	ErrConflict = Errors.NewType("conflict")
	// ErrUnavailable means that the platform's key-value service was unavailable
	// and the change was not accepted.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown means that the change may have been accepted. Applying it again
	// with the same change identifier determines the outcome.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
	// ErrCorrupt means that the stored record cannot be decoded.
	ErrCorrupt = Errors.NewType("corrupt")

	propConflict = errorx.RegisterProperty("conflict")
)

// Conflict describes both sides of a race between operators.
type Conflict struct {
	// Expected is the revision that the rejected change was based on.
	Expected int64 `json:"expected"`
	// Current is the current revision.
	Current int64 `json:"current"`
	// Yours lists what the rejected change would change in the current document.
	Yours []class.Change `json:"yours"`
	// AcceptedSince lists the changes accepted after Expected, oldest first, as far as the
	// history goes back.
	AcceptedSince []Entry `json:"won"`
}

// ConflictOf returns the conflict attached to an ErrConflict.
func ConflictOf(err error) (Conflict, bool) {
	cast := errorx.Cast(err)
	if cast == nil {
		return Conflict{}, false
	}
	value, _ := cast.Property(propConflict)
	conflict, ok := value.(Conflict)
	return conflict, ok
}
