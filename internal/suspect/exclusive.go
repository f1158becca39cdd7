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
	// ErrBusy is returned when the suspect runs elsewhere, or another suspect runs on
	// the endpoint.
	ErrBusy = Errors.NewType("busy", errorx.Temporary())
	// ErrUnavailable is returned when it is unknown whether the suspect runs elsewhere.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// Scopes of the claims for runs of suspects.
const (
	scopeRequest  = "suspect/request"
	scopeEndpoint = "suspect/endpoint"
)

// releaseTimeout bounds the release of a suspect's claims.
const releaseTimeout = 3 * time.Second

// ClaimExclusive implements Exclusive with at-most-once claims. If a run ends with
// the death of the endpoint, the claim on the request is kept, so that the suspect
// does not run again before its conviction is known on all entries.
type ClaimExclusive struct {
	Claimer claim.Claimer
	// Self is the ID of this entry.
	Self string
}

var _ Exclusive = ClaimExclusive{}

// Acquire claims the request and then the endpoint.
func (e ClaimExclusive) Acquire(ctx context.Context, fingerprint Fingerprint, endpoint string) (func(Result), error) {
	requestGrant, err := e.acquire(ctx, scopeRequest, hex.EncodeToString(fingerprint[:]))
	if err != nil {
		return nil, err
	}
	endpointGrant, err := e.acquire(ctx, scopeEndpoint, endpoint)
	if err != nil {
		e.release(requestGrant, Other)
		return nil, err
	}
	return func(result Result) {
		e.release(requestGrant, result)
		e.release(endpointGrant, Other)
	}, nil
}

func (e ClaimExclusive) acquire(ctx context.Context, scope, name string) (claim.Grant, error) {
	grant, err := e.Claimer.Claim(ctx, claim.Request{Key: claim.KeyOf("", scope, name), Claimant: e.Self})
	if err != nil {
		return claim.Grant{}, ErrUnavailable.Wrap(err, "%s %q", scope, name)
	}
	if grant.Verdict != claim.Granted {
		return claim.Grant{}, ErrBusy.New("%s %q runs elsewhere", scope, name)
	}
	return grant, nil
}

func (e ClaimExclusive) release(grant claim.Grant, result Result) {
	ending := claim.Ending{State: claim.NotRun}
	if result == EndpointDied {
		ending.State = claim.Unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = e.Claimer.Settle(ctx, grant, ending) // on failure the key stays claimed
}
