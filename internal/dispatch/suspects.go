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

// Ending is how a request ended at an endpoint, as far as it matters for
// finding requests that crash endpoints.
type Ending int

// Endings.
const (
	// EndingSurvived: the endpoint outlived the request.
	EndingSurvived Ending = iota
	// EndingCrashed: the connection broke while the endpoint ran it.
	EndingCrashed
	// EndingOther: nothing can be told.
	EndingOther
)

// Restrictions is what is known of a request before it is sent.
type Restrictions struct {
	// Exclusive: it is suspected, and must run with nothing beside it.
	Exclusive bool
	// Avoid lists endpoints on which it must not run.
	Avoid []string
}

// Suspects finds requests that crash endpoints.
type Suspects interface {
	// Check fails with request.ErrSuspect when the request is convicted.
	Check(fingerprint Fingerprint) (Restrictions, error)
	// Begin is called before the request is sent to an endpoint; the returned
	// function is called once, when it has ended there. It fails with
	// request.ErrSuspect, or with ErrHeldBack while a suspect may not run there.
	Begin(ctx context.Context, fingerprint Fingerprint, endpointID string) (func(Ending), error)
}

// ErrDeferred: a suspect may not run at this endpoint now; nothing was sent.
var ErrDeferred = Errors.NewType("held_back", errorx.Temporary())

// begin asks for a request to run at an endpoint, and keeps others away from
// there while one must run alone. The returned function tells how it ended.
func (d *Dispatcher) begin(ctx context.Context, call *Call, alone bool, chosen *endpoint.Endpoint) (func(error), error) {
	ended, err := d.options.Suspects.Begin(ctx, call.Fingerprint, chosen.ID)
	if err != nil {
		return nil, err
	}
	if alone {
		chosen.Live.Reserved.Add(1)
	}
	return func(err error) {
		if alone {
			chosen.Live.Reserved.Add(-1)
		}
		ended(d.endingOf(ctx, chosen, err))
	}, nil
}

// endingOf turns the end of a call into an ending. An endpoint counts as dead
// when the connection broke and it refuses a new one.
func (d *Dispatcher) endingOf(ctx context.Context, chosen *endpoint.Endpoint, err error) Ending {
	switch v := verdictOf(err); {
	case v == verdictWhole || v == verdictRejected:
		return EndingSurvived
	case errorx.IsOfType(err, engine.ErrBroken) && died(ctx, chosen.Address):
		return EndingCrashed
	default:
		return EndingOther
	}
}

// NoSuspects suspects nothing.
type NoSuspects struct{}

// Check implements Suspects.
func (NoSuspects) Check(Fingerprint) (Restrictions, error) { return Restrictions{}, nil }

// Begin implements Suspects.
func (NoSuspects) Begin(context.Context, Fingerprint, string) (func(Ending), error) {
	return func(Ending) {}, nil
}
