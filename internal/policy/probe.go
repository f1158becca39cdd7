package policy

import (
	"math/rand/v2"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Limits on probes.
const (
	// probeRatio is the ratio to the best endpoint's time per token from which an endpoint
	// is probed. Endpoints below it receive regular work anyway.
	probeRatio = 1.3
	// Fractions of the interactive and of the other work that are sent as probes.
	interactiveProbeFraction = 1.0 / 256
	batchProbeFraction       = 1.0 / 32
)

// probe returns, for a small fraction of the idempotent work, an endpoint that was slow
// when it was last used. Without probes its recovery would go undetected.
func probe(best, slowest *endpoint.Endpoint, work *Work, random *rand.Rand) *endpoint.Endpoint {
	if slowest == nil || slowest == best || !work.Idempotent || work.Exclusive {
		return nil
	}
	if tokenNanos(slowest, work.Kind) < probeRatio*tokenNanos(best, work.Kind) {
		return nil
	}
	fraction := batchProbeFraction
	if work.Interactive {
		fraction = interactiveProbeFraction
	}
	if random.Float64() >= fraction {
		return nil
	}
	return slowest
}

// slower returns the endpoint with the longer time per token.
func slower(a, b *endpoint.Endpoint, work *Work) *endpoint.Endpoint {
	if a == nil || tokenNanos(b, work.Kind) > tokenNanos(a, work.Kind) {
		return b
	}
	return a
}
