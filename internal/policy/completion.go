package policy

import (
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Times assumed for endpoints from which this entry has not yet received an answer,
// in nanoseconds.
const (
	defaultTokenNanos = 1e6
	defaultCallNanos  = 5e6
)

// CompletionTime estimates the time until the endpoint would complete the work, in
// nanoseconds: the wait for a slot plus the time to generate the answer, which
// grows with the endpoint's utilization.
type CompletionTime struct {
	// EntryCount is the number of entries that share the endpoints; nil means one.
	EntryCount *EntryCount
	// Reserve is the fraction of an endpoint's slots reserved for interactive work,
	// 0 to 1.
	Reserve float64
}

// Score implements Scorer.
func (c CompletionTime) Score(e *endpoint.Endpoint, work *Work) float64 {
	requests := load(e, c.EntryCount.count())
	capacity := slots(e)
	if !work.Interactive {
		capacity = max(1, capacity*(1-c.Reserve))
	}
	perToken := tokenNanos(e, work.Kind)
	run := perToken * work.tokens() * (1 + requests/slots(e))
	if requests < capacity {
		return run
	}
	rounds := (requests - capacity + 1) / capacity
	return run + rounds*perToken*meanTokens(e, work)
}

func tokenNanos(e *endpoint.Endpoint, kind endpoint.Kind) float64 {
	observed, fallback := e.Live.TokenNanos.Load(), float64(defaultTokenNanos)
	if kind == endpoint.Service {
		observed, fallback = e.Live.CallNanos.Load(), defaultCallNanos
	}
	if observed > 0 {
		return float64(observed)
	}
	return fallback
}

// meanTokens returns the mean expected length, in tokens, of the requests that this entry
// has in flight at the endpoint.
func meanTokens(e *endpoint.Endpoint, work *Work) float64 {
	requests := e.Live.InFlight.Load()
	if requests <= 0 || work.Kind == endpoint.Service {
		return work.tokens()
	}
	return max(float64(e.Live.InFlightTokens.Load())/float64(requests), 1)
}
