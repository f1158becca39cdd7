package policy

import (
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Times that are assumed of endpoints that this entry has not seen answer, in
// nanoseconds.
const (
	assumedTokenNanos = 1e6
	assumedCallNanos  = 5e6
)

// CompletionTime estimates the time until the endpoint would have answered the
// work, in nanoseconds: the wait for a slot, then the answer itself, which is
// slower on a fuller endpoint.
type CompletionTime struct {
	// EntryCount tells how many entries share the endpoints; nil is one.
	EntryCount *EntryCount
	// Reserve is the share of an endpoint's slots that is kept for interactive
	// work, 0 to 1.
	Reserve float64
}

// Score implements Scorer.
func (c CompletionTime) Score(e *endpoint.Endpoint, work *Work) float64 {
	held := load(e, c.EntryCount.count())
	room := slots(e)
	if !work.Interactive {
		room = max(1, room*(1-c.Reserve))
	}
	perToken := tokenNanos(e, work.Kind)
	run := perToken * work.tokens() * (1 + held/slots(e))
	if held < room {
		return run
	}
	turns := (held - room + 1) / room
	return run + turns*perToken*meanTokens(e, work)
}

func tokenNanos(e *endpoint.Endpoint, kind endpoint.Kind) float64 {
	seen, assumed := e.Live.TokenNanos.Load(), float64(assumedTokenNanos)
	if kind == endpoint.Service {
		seen, assumed = e.Live.CallNanos.Load(), assumedCallNanos
	}
	if seen > 0 {
		return float64(seen)
	}
	return assumed
}

// meanTokens is the mean length of what this entry has sent to the endpoint.
func meanTokens(e *endpoint.Endpoint, work *Work) float64 {
	held := e.Live.InFlight.Load()
	if held <= 0 || work.Kind == endpoint.Service {
		return work.tokens()
	}
	return max(float64(e.Live.InFlightTokens.Load())/float64(held), 1)
}
