package traffic

import (
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/queue"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Refusal is why a request did not run.
type Refusal int

// Values of Refusal.
const (
	// RefusedOther means any other reason, or that the request was not refused.
	RefusedOther Refusal = iota
	// RefusedInvalid means that the request was invalid or too large.
	RefusedInvalid
	// RefusedFull means that the queue did not admit the request.
	RefusedFull
	// RefusedUnclaimed means that the request's key could not be claimed.
	RefusedUnclaimed
	// RefusedNoEndpoint means that no endpoint was available for the request.
	RefusedNoEndpoint
)

// RefusalOf returns the reason for an error of the request layer.
func RefusalOf(err error) Refusal {
	switch {
	case errorx.IsOfType(err, request.ErrNoEndpoint):
		return RefusedNoEndpoint
	case errorx.IsOfType(err, request.ErrInvalid), errorx.IsOfType(err, request.ErrTooLarge):
		return RefusedInvalid
	case !errorx.IsOfType(err, request.ErrRefused):
		return RefusedOther
	}
	for e := errorx.Cast(err); e != nil; e = errorx.Cast(e.Cause()) {
		switch e.Type().RootNamespace().FullName() {
		case claim.Errors.FullName():
			return RefusedUnclaimed
		case queue.Errors.FullName():
			return refusalOfQueue(e)
		}
	}
	return RefusedOther
}

// refusalOfQueue distinguishes a refusal by the queue from a canceled request.
func refusalOfQueue(err *errorx.Error) Refusal {
	if err.IsOfType(queue.ErrRefused) {
		return RefusedFull
	}
	return RefusedOther
}
