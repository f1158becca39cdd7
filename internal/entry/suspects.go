package entry

import (
	"context"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/suspect"
)

// suspects adapts the registry of requests that crash endpoints to the dispatcher.
type suspects struct {
	registry *suspect.Registry
}

// Check implements dispatch.Suspects.
func (s suspects) Check(fingerprint dispatch.Fingerprint) (dispatch.Restrictions, error) {
	standing, avoid := s.registry.Standing(suspect.Fingerprint(fingerprint))
	if standing == suspect.Convicted {
		return dispatch.Restrictions{}, errConvicted()
	}
	return dispatch.Restrictions{Exclusive: standing == suspect.Suspected, Avoid: avoid}, nil
}

// Begin implements dispatch.Suspects.
func (s suspects) Begin(ctx context.Context, fingerprint dispatch.Fingerprint, endpointID string) (func(dispatch.Ending), error) {
	admission, done := s.registry.Begin(ctx, suspect.Fingerprint(fingerprint), endpointID)
	if admission.Allowed {
		return func(ending dispatch.Ending) { done(resultOf(ending)) }, nil
	}
	if admission.Reason == suspect.ReasonConvicted {
		return nil, errConvicted()
	}
	return nil, dispatch.ErrDeferred.New("%s", admission.Reason)
}

func errConvicted() error {
	return request.ErrSuspect.New("%s", suspect.ReasonConvicted)
}

func resultOf(ending dispatch.Ending) suspect.Result {
	switch ending {
	case dispatch.EndingSurvived:
		return suspect.Survived
	case dispatch.EndingCrashed:
		return suspect.EndpointDied
	default:
		return suspect.Other
	}
}
