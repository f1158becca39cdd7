package policy

import (
	"math/rand/v2"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// mayTake reports whether the endpoint may take the work at all.
func mayTake(e *endpoint.Endpoint, work *Work) bool {
	if e.Leaving || e.Unready || e.Live.LastLeaveWord.Load() != 0 {
		return false
	}
	if e.ActiveVersion < work.MinVersion {
		return false
	}
	if work.Exclusive && held(e) > 0 {
		return false
	}
	if !work.Exclusive && e.Live.Reserved.Load() > 0 {
		return false
	}
	return !slices.Contains(work.Excluded, e.ID)
}

// Each failure divides an endpoint's share of the work by 64, down to one part
// in 256, which probes it.
const (
	failureBits    = 6
	maxFailureBits = 8
)

// shouldTake reports whether the endpoint should take a share of the work now.
// Demoted endpoints keep the rest of their share, and endpoints that just
// failed get far less with each failure; what is left probes them.
func shouldTake(e *endpoint.Endpoint, random *rand.Rand) bool {
	share := 1 - e.Demotion
	if failures := e.Live.Failures.Load(); failures > 0 {
		share /= float64(int64(1) << min(failures*failureBits, maxFailureBits))
	}
	return share >= 1 || random.Float64() < share
}
