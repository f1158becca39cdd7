package alternatives

import (
	"context"
	"encoding/binary"
	"sync"

	"github.com/comfreyfront/comfreyfront/internal/claim"
)

// Issuer grants only keys that it issued itself under its epoch, and makes no store write per
// request. A key of another epoch gets the verdict Taken with the state Unknown, because the
// issuer of that epoch may have granted it. A caller must request a key before each request.
type Issuer struct {
	Epoch int64

	mu      sync.Mutex
	last    uint64
	endings map[claim.Key]claim.Ending
}

var _ claim.Claimer = (*Issuer)(nil)

// epochSize is the size in bytes of the epoch at the start of a key.
const epochSize = claim.KeySize / 2

// Issue returns a new key.
func (i *Issuer) Issue() claim.Key {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.last++
	var key claim.Key
	binary.BigEndian.PutUint64(key[:epochSize], uint64(i.Epoch))
	binary.BigEndian.PutUint64(key[epochSize:], i.last)
	return key
}

// Claim grants a key of this epoch once.
func (i *Issuer) Claim(_ context.Context, request claim.Request) (claim.Grant, error) {
	grant := claim.Grant{Key: request.Key, Epoch: i.Epoch, Claimant: request.Claimant}
	i.mu.Lock()
	defer i.mu.Unlock()
	prior, settled := i.endings[request.Key]
	switch {
	case binary.BigEndian.Uint64(request.Key[:epochSize]) != uint64(i.Epoch):
		grant.Verdict, grant.Prior = claim.Taken, claim.Ending{State: claim.Unknown}
		return grant, nil
	case settled && prior.State != claim.NotRun:
		grant.Verdict, grant.Prior = claim.Taken, prior
		return grant, nil
	}
	if i.endings == nil {
		i.endings = map[claim.Key]claim.Ending{}
	}
	i.endings[request.Key] = claim.Ending{State: claim.Running}
	grant.Verdict = claim.Granted
	return grant, nil
}

// Settle records an ending in memory.
func (i *Issuer) Settle(_ context.Context, grant claim.Grant, ending claim.Ending) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endings[grant.Key] = ending
	return nil
}
