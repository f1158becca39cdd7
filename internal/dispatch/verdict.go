package dispatch

import (
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// verdict is what one call at an endpoint tells.
type verdict int

const (
	// verdictWhole: a whole answer.
	verdictWhole verdict = iota
	// verdictNotSent: no byte can have reached the endpoint.
	verdictNotSent
	// verdictNotRun: the endpoint said that it did not run it.
	verdictNotRun
	// verdictLeaving: like verdictNotRun, because the endpoint is leaving.
	verdictLeaving
	// verdictRejected: the endpoint said that the request is wrong.
	verdictRejected
	// verdictBroken: it may have run, and no whole answer came.
	verdictBroken
	// verdictCanceled: this side gave it up; it may have run.
	verdictCanceled
)

func verdictOf(err error) verdict {
	switch {
	case err == nil:
		return verdictWhole
	case errorx.IsOfType(err, engine.ErrNotSent):
		return verdictNotSent
	case errorx.IsOfType(err, engine.ErrNotRun):
		return verdictNotRun
	case errorx.IsOfType(err, engine.ErrLeaving):
		return verdictLeaving
	case errorx.IsOfType(err, engine.ErrRejected):
		return verdictRejected
	case errorx.IsOfType(err, engine.ErrCanceled), errorx.IsOfType(err, errRelay):
		return verdictCanceled
	case isRequestError(err), errorx.IsOfType(err, ErrDeferred): // this side held it back
		return verdictNotRun
	default:
		return verdictBroken
	}
}

// ran reports whether the request may have run at the endpoint.
func (v verdict) ran() bool {
	switch v {
	case verdictNotSent, verdictNotRun, verdictLeaving:
		return false
	default:
		return true
	}
}
