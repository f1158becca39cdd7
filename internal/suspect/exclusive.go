package suspect

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/claim"
)

// Errors of the suspect layer.
var (
	Errors = errorx.NewNamespace("suspect")
	// ErrBusy: the suspect, or another one on the endpoint, runs elsewhere.
	ErrBusy = Errors.NewType("busy", errorx.Temporary())
	// ErrUnavailable: it cannot be found out whether it runs elsewhere.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// Scopes of the claims that suspects take.
const (
	scopeRequest  = "suspect/request"
	scopeEndpoint = "suspect/endpoint"
)

// releaseTimeout bounds the ending of a suspect's claims.
const releaseTimeout = 3 * time.Second

// ClaimExclusive is an Exclusive by at-most-once claims. A suspect whose run
// ended with the endpoint's death keeps its claim, so that it does not run
// again before its conviction is known everywhere.
type ClaimExclusive struct {
	Claimer claim.Claimer
	// Self is the entry's identifier.
	Self string
}

var _ Exclusive = ClaimExclusive{}

// Acquire claims the request and then the endpoint.
func (e ClaimExclusive) Acquire(ctx context.Context, fingerprint Fingerprint, endpoint string) (func(Result), error) {
	request, err := e.take(ctx, scopeRequest, hex.EncodeToString(fingerprint[:]))
	if err != nil {
		return nil, err
	}
	place, err := e.take(ctx, scopeEndpoint, endpoint)
	if err != nil {
		e.give(request, Other)
		return nil, err
	}
	return func(result Result) {
		e.give(request, result)
		e.give(place, Other)
	}, nil
}

func (e ClaimExclusive) take(ctx context.Context, scope, name string) (claim.Grant, error) {
	grant, err := e.Claimer.Claim(ctx, claim.Request{Key: claim.KeyOf("", scope, name), Claimant: e.Self})
	if err != nil {
		return claim.Grant{}, ErrUnavailable.Wrap(err, "%s %q", scope, name)
	}
	if grant.Verdict != claim.Granted {
		return claim.Grant{}, ErrBusy.New("%s %q runs elsewhere", scope, name)
	}
	return grant, nil
}

func (e ClaimExclusive) give(grant claim.Grant, result Result) {
	ending := claim.Ending{State: claim.NotRun}
	if result == EndpointDied {
		ending.State = claim.Unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = e.Claimer.Settle(ctx, grant, ending) // it stays claimed when this fails
}
