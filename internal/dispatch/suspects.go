package dispatch

import (
	"context"
	"crypto/sha256"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
)

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a request's content.
func FingerprintOf(parts ...string) Fingerprint {
	digest := sha256.New()
	for _, part := range parts {
		digest.Write([]byte(strconv.Itoa(len(part))))
		digest.Write([]byte{':'})
		digest.Write([]byte(part))
	}
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// Ending classifies how a request ended at an endpoint, to detect requests that crash
// endpoints.
type Ending int

// Values of Ending.
const (
	// EndingSurvived means that the endpoint answered the request and survived it.
	EndingSurvived Ending = iota
	// EndingCrashed means that the connection broke during the request and that the endpoint
	// is down.
	EndingCrashed
	// EndingOther means that the end of the request allows no conclusion.
	EndingOther
)

// Restrictions limits where and how a request may run.
type Restrictions struct {
	// Exclusive is set for a suspect, which must not share its endpoint with other requests.
	Exclusive bool
	// Avoid lists the IDs of endpoints at which the request must not run.
	Avoid []string
}

// Suspects detects requests that crash endpoints.
type Suspects interface {
	// Check returns the restrictions on a request. It fails with request.ErrSuspect if the
	// request is convicted.
	Check(fingerprint Fingerprint) (Restrictions, error)
	// Begin must be called before a request is sent to an endpoint. The caller must call the
	// returned function exactly once, when the request has ended there. Begin fails with
	// request.ErrSuspect if the request is convicted, or with ErrDeferred while a suspect
	// may not run at the endpoint.
	Begin(ctx context.Context, fingerprint Fingerprint, endpointID string) (func(Ending), error)
}

// ErrDeferred means that a suspect may not run at the endpoint now and that nothing was
// sent.
var ErrDeferred = Errors.NewType("held_back", errorx.Temporary())

// begin registers the start of a request at an endpoint, and reserves the endpoint if the
// request requires exclusive use. The returned function registers the end of the request.
func (d *Dispatcher) begin(ctx context.Context, call *Call, exclusive bool, chosen *endpoint.Endpoint) (func(error), error) {
	end, err := d.options.Suspects.Begin(ctx, call.Fingerprint, chosen.ID)
	if err != nil {
		return nil, err
	}
	if exclusive {
		chosen.Live.Reserved.Add(1)
	}
	return func(err error) {
		if exclusive {
			chosen.Live.Reserved.Add(-1)
		}
		end(d.endingOf(ctx, chosen, err))
	}, nil
}

// endingOf classifies the end of a call. An endpoint counts as crashed if the connection
// broke and new connections are refused.
func (d *Dispatcher) endingOf(ctx context.Context, chosen *endpoint.Endpoint, err error) Ending {
	switch outcome := outcomeOf(err); {
	case outcome == outcomeComplete || outcome == outcomeRejected:
		return EndingSurvived
	case errorx.IsOfType(err, engine.ErrBroken) && isDown(ctx, chosen.Address):
		return EndingCrashed
	default:
		return EndingOther
	}
}

// NoSuspects implements Suspects and treats no request as a suspect.
type NoSuspects struct{}

// Check implements Suspects.
func (NoSuspects) Check(Fingerprint) (Restrictions, error) { return Restrictions{}, nil }

// Begin implements Suspects.
func (NoSuspects) Begin(context.Context, Fingerprint, string) (func(Ending), error) {
	return func(Ending) {}, nil
}
