package strict

import "github.com/joomcode/errorx"

// Errors of package strict.
var (
	Errors = errorx.NewNamespace("http_answer")
	// ErrMalformed means that the bytes received in place of an answer are none. The request may
	// have run.
	ErrMalformed = Errors.NewType("malformed")
	// ErrBroken means that the connection of an answer did not end in order, so that an answer
	// which ends with it may be incomplete.
	ErrBroken = Errors.NewType("broken")
)
