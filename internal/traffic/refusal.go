package traffic

import (
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/queue"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Refusal is why a request did not run.
type Refusal int

// The refusals.
const (
	// RefusedOther: none of the others, or it was not refused.
	RefusedOther Refusal = iota
	// RefusedInvalid: its caller erred.
	RefusedInvalid
	// RefusedFull: it was not admitted.
	RefusedFull
	// RefusedUnclaimed: its key could not be claimed.
	RefusedUnclaimed
	// RefusedNoEndpoint: no endpoint could take it.
	RefusedNoEndpoint
)

// RefusalOf tells why an error of the request layer came about.
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

// refusalOfQueue tells a full queue from a caller that left it.
func refusalOfQueue(err *errorx.Error) Refusal {
	if err.IsOfType(queue.ErrRefused) {
		return RefusedFull
	}
	return RefusedOther
}
