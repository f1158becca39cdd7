package dispatch

import (
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// callOutcome classifies the result of one call at an endpoint.
type callOutcome int

const (
	// outcomeComplete means that the call returned a complete answer.
	outcomeComplete callOutcome = iota
	// outcomeNotSent means that no byte can have reached the endpoint.
	outcomeNotSent
	// outcomeNotRun means that the endpoint reported that it did not run the request.
	outcomeNotRun
	// outcomeLeaving is like outcomeNotRun, because the endpoint is leaving.
	outcomeLeaving
	// outcomeRejected means that the endpoint reported the request as invalid.
	outcomeRejected
	// outcomeFailed means that the request may have run and no complete answer arrived.
	outcomeFailed
	// outcomeCanceled means that this process canceled the call; the request may have run.
	outcomeCanceled
)

func outcomeOf(err error) callOutcome {
	switch {
	case err == nil:
		return outcomeComplete
	case errorx.IsOfType(err, engine.ErrNotSent):
		return outcomeNotSent
	case errorx.IsOfType(err, engine.ErrNotRun):
		return outcomeNotRun
	case errorx.IsOfType(err, engine.ErrLeaving):
		return outcomeLeaving
	case errorx.IsOfType(err, engine.ErrRejected):
		return outcomeRejected
	case errorx.IsOfType(err, engine.ErrCanceled), errorx.IsOfType(err, errRelay):
		return outcomeCanceled
	case isRequestError(err), errorx.IsOfType(err, ErrDeferred): // this process did not send the request
		return outcomeNotRun
	default:
		return outcomeFailed
	}
}

// mayHaveRun reports whether the request may have run at the endpoint.
func (o callOutcome) mayHaveRun() bool {
	switch o {
	case outcomeNotSent, outcomeNotRun, outcomeLeaving:
		return false
	default:
		return true
	}
}
