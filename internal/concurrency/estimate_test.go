package concurrency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var baseTime = time.Unix(1_700_000_000, 0)

const (
	testSlots = 24
	testKnee  = 8
	playTime  = 60 * time.Second
)

// endpoint is a played endpoint: from how many requests on it slows down, and by how much
// else it is slower at a moment.
type endpoint struct {
	knee func(at time.Duration) float64
	slow func(at time.Duration) float64
}

func always(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

func during(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// result is how a limiter did: by how much it let through more than the endpoint takes well,
// and held back what it would take, as shares of the demand.
type result struct{ over, held float64 }

// drive plays an endpoint that a changing demand wants to use, up to the limiter's limit. It
// calls each after each request; each may be nil.
func drive(l limiter, e endpoint, seed uint64, each func(at time.Duration, limit float64)) result {
	rng := rand.New(rand.NewPCG(seed, 5))
	demand, wanted := 6.0, 0.0
	var r result
	for at := time.Duration(0); at < playTime; {
		demand = min(max(demand+rng.NormFloat64(), 1), 1.5*testKnee)
		now := baseTime.Add(at)
		limit := l.limit(testSlots, now)
		inFlight := min(demand, max(limit, 1))
		seconds := 0.025 * timeFactor(inFlight, e.knee(at), testSlots) * e.slow(at) * math.Exp(0.3*rng.NormFloat64())
		at += time.Duration(seconds / inFlight * float64(time.Second))
		l.observe(seconds, inFlight, testSlots, baseTime.Add(at))
		takes := tolerance * e.knee(at)
		wanted += demand
		r.over += max(inFlight-takes, 0)
		r.held += max(min(demand, takes)-inFlight, 0)
		if each != nil {
			each(at, limit)
		}
	}
	return result{over: r.over / wanted, held: r.held / wanted}
}

func playedEndpoints() map[string]endpoint {
	return map[string]endpoint{
		"no knee":       {knee: always(testSlots), slow: always(1)},
		"knee at 1/3":   {knee: always(testKnee), slow: always(1)},
		"knee at 1/6":   {knee: always(testKnee / 2), slow: always(1)},
		"disturbances":  {knee: always(testSlots), slow: func(at time.Duration) float64 { return during(0, 300*time.Millisecond, 4, 1)(at % (3 * time.Second)) }},
		"three times":   {knee: always(testSlots), slow: during(20*time.Second, 40*time.Second, 3, 1)},
		"a knee for 20": {knee: during(20*time.Second, 40*time.Second, testKnee/2, testSlots), slow: always(1)},
	}
}

// TestLimitsAgainstOtherWays checks that the fit holds back and lets through little, and logs
// what the other ways do.
func TestLimitsAgainstOtherWays(t *testing.T) {
	const allowed = 0.1
	ways := map[string]func() limiter{
		"fitted": func() limiter { return &fitted{} }, "gradient": func() limiter { return &gradient{} },
		"additive": func() limiter { return &additive{} }, "regression": func() limiter { return &regression{} },
	}
	for name, e := range playedEndpoints() {
		for way, create := range ways {
			var sum result
			for seed := range uint64(5) {
				r := drive(create(), e, seed, nil)
				sum.over, sum.held = sum.over+r.over/5, sum.held+r.held/5
				if way == "fitted" {
					require.LessOrEqual(t, r.over, allowed, name)
					require.LessOrEqual(t, r.held, allowed, name)
				}
			}
			t.Logf("%-14s %-10s over %.3f, held back %.3f", name, way, sum.over, sum.held)
		}
	}
}
