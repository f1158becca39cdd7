package config

import (
	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/joomcode/errorx"
)

// Errors of the configuration layer.
var (
	Errors = errorx.NewNamespace("config")
	// ErrInvalid: the change itself is wrong; it was not accepted.
	ErrInvalid = Errors.NewType("invalid")
	// ErrConflict: another change won; this one was not accepted and never
	// will be. ConflictOf shows both.
	ErrConflict = Errors.NewType("conflict")
	// ErrUnavailable: the platform's service did not take the change.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrUnknown: the change may have been accepted. Applying it again with the
	// same change identifier finds out.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
	// ErrCorrupt: the stored record cannot be read.
	ErrCorrupt = Errors.NewType("corrupt")

	propConflict = errorx.RegisterProperty("conflict")
)

// Conflict shows both sides of a race between operators.
type Conflict struct {
	// Expected is the revision that the losing change was made from.
	Expected int64 `json:"expected"`
	// Current is the revision that stands.
	Current int64 `json:"current"`
	// Yours is what the losing change would do to the document that stands.
	Yours []class.Change `json:"yours"`
	// Won are the changes accepted after Expected, oldest first, as far as the
	// history reaches.
	Won []Entry `json:"won"`
}

// ConflictOf returns the conflict that an ErrConflict carries.
func ConflictOf(err error) (Conflict, bool) {
	cast := errorx.Cast(err)
	if cast == nil {
		return Conflict{}, false
	}
	value, _ := cast.Property(propConflict)
	conflict, ok := value.(Conflict)
	return conflict, ok
}
