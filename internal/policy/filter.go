package policy

import (
	"math/rand/v2"
	"slices"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// isEligible reports whether the endpoint is allowed to run the work.
func isEligible(e *endpoint.Endpoint, work *Work) bool {
	if e.Leaving || e.Unready || e.Live.LastLeaveReport.Load() != 0 {
		return false
	}
	if e.ActiveVersion < work.MinVersion {
		return false
	}
	if work.Exclusive && correctedLoad(e) > 0 {
		return false
	}
	if !work.Exclusive && e.Live.Reserved.Load() > 0 {
		return false
	}
	return !slices.Contains(work.Excluded, e.ID)
}

// Each failure divides an endpoint's fraction of the work by 64, down to 1/256; the
// remaining requests probe it.
const (
	failureBits    = 6
	maxFailureBits = 8
)

// isPreferred decides at random whether the endpoint is a preferred choice for the work.
// The probability of a demoted endpoint is reduced by its demotion, and that of a
// failing endpoint drops sharply with each consecutive failure. The requests that
// remain probe the endpoint.
func isPreferred(e *endpoint.Endpoint, random *rand.Rand) bool {
	fraction := 1 - e.Demotion
	if failures := e.Live.Failures.Load(); failures > 0 {
		fraction /= float64(int64(1) << min(failures*failureBits, maxFailureBits))
	}
	return fraction >= 1 || random.Float64() < fraction
}
