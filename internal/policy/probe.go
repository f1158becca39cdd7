package policy

import (
	"math/rand/v2"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Limits of probes.
const (
	// probeRatio is how many times slower than the best an endpoint must look
	// to be probed: a nearer one gets work by itself.
	probeRatio = 1.3
	// Shares of the work that probe, where somebody waits and elsewhere.
	probeInteractive = 1.0 / 256
	probeBatch       = 1.0 / 32
)

// probe returns an endpoint that looked slow when it was last used, for a small
// share of the work that may run twice: otherwise nobody would ever learn that
// it has recovered.
func probe(best, slowest *endpoint.Endpoint, work *Work, random *rand.Rand) *endpoint.Endpoint {
	if slowest == nil || slowest == best || !work.Idempotent || work.Exclusive {
		return nil
	}
	if tokenNanos(slowest, work.Kind) < probeRatio*tokenNanos(best, work.Kind) {
		return nil
	}
	share := probeBatch
	if work.Interactive {
		share = probeInteractive
	}
	if random.Float64() >= share {
		return nil
	}
	return slowest
}

// slower returns the one of two endpoints that took longer per token.
func slower(a, b *endpoint.Endpoint, work *Work) *endpoint.Endpoint {
	if a == nil || tokenNanos(b, work.Kind) > tokenNanos(a, work.Kind) {
		return b
	}
	return a
}
