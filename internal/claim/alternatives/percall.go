// Package alternatives contains designs for running a request at most once that were
// evaluated against partition owners and not chosen. They are kept for the comparison in
// docs/design/at-most-once.md.
package alternatives

import (
	"context"
	"encoding/binary"
	"encoding/hex"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// PerCall writes one key of the platform's key-value service for each claim and overwrites
// it with the ending.
type PerCall struct {
	Store keyvalue.Store
}

var _ claim.Claimer = PerCall{}

const (
	perCallPrefix = "claims-per-call/"
	stateSize     = 1
	headerSize    = stateSize + 8
)

// encode encodes a claim as its state, fingerprint and claimant.
func encode(state claim.State, fingerprint claim.Fingerprint, claimant string) []byte {
	header := binary.BigEndian.AppendUint64([]byte{byte(state)}, uint64(fingerprint))
	return append(header, claimant...)
}

// Claim creates the key of the request.
func (p PerCall) Claim(ctx context.Context, request claim.Request) (claim.Grant, error) {
	key := perCallPrefix + hex.EncodeToString(request.Key[:])
	data := encode(claim.Running, request.Fingerprint, request.Claimant)
	value, err := p.Store.CompareAndSwap(ctx, key, 0, data, 0)
	if errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown) {
		value, err = p.Store.CompareAndSwap(ctx, key, 0, data, 0)
	}
	grant := claim.Grant{Key: request.Key, Claimant: request.Claimant}
	switch {
	case err == nil || errorx.IsOfType(err, keyvalue.ErrConflict) && string(value.Data) == string(data):
		grant.Verdict, grant.Epoch = claim.Granted, value.Revision
		return grant, nil
	case errorx.IsOfType(err, keyvalue.ErrConflict) && len(value.Data) >= headerSize:
		return p.decideExisting(ctx, request, value)
	}
	return claim.Grant{}, claim.ErrUnavailable.Wrap(err, "claim")
}

func (p PerCall) decideExisting(ctx context.Context, request claim.Request, value keyvalue.Value) (claim.Grant, error) {
	grant := claim.Grant{Key: request.Key, Claimant: request.Claimant}
	state := claim.State(value.Data[0])
	if claim.Fingerprint(binary.BigEndian.Uint64(value.Data[stateSize:headerSize])) != request.Fingerprint {
		grant.Verdict = claim.Mismatch
		return grant, nil
	}
	if state != claim.NotRun {
		grant.Verdict, grant.Prior = claim.Taken, claim.Ending{State: state}
		return grant, nil
	}
	data := encode(claim.Running, request.Fingerprint, request.Claimant)
	value, err := p.Store.CompareAndSwap(ctx, value.Key, value.Revision, data, 0)
	if err != nil {
		return claim.Grant{}, claim.ErrUnavailable.Wrap(err, "claim")
	}
	grant.Verdict, grant.Epoch = claim.Granted, value.Revision
	return grant, nil
}

// Settle overwrites the key with the ending.
func (p PerCall) Settle(ctx context.Context, grant claim.Grant, ending claim.Ending) error {
	key := perCallPrefix + hex.EncodeToString(grant.Key[:])
	_, err := p.Store.CompareAndSwap(ctx, key, grant.Epoch, encode(ending.State, 0, grant.Claimant), 0)
	if err != nil {
		return claim.ErrNotSettled.Wrap(err, "ending")
	}
	return nil
}
