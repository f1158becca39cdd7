package policy

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Scorer computes the cost of running work on an endpoint, in nanoseconds. The costs
// of all scorers are added up, and the endpoint with the lowest sum is chosen.
type Scorer interface {
	Score(e *endpoint.Endpoint, work *Work) float64
}

// Bounds on the cost of one choice, so that it does not grow with the fleet.
const (
	// maxFullScan is the largest number of endpoints that are all considered.
	maxFullScan = 16
	// sampleSize is the number of endpoints considered in a larger fleet.
	sampleSize = 6
	// affinityCostRatio is the largest ratio between the cost of a home of the prompt's
	// prefix and the lowest cost at which the home is still chosen.
	affinityCostRatio = 1.3
)

// Chooser picks the endpoint with the lowest cost among a bounded random sample,
// and prefers a home of the prompt's prefix while its cost is close to the lowest.
// It is safe for concurrent use; the zero value picks at random.
type Chooser struct {
	Scorers []Scorer
	// Lane lists endpoints reserved for interactive work; nil means none.
	Lane *Lane
}

// choice is the lowest-cost endpoint found so far.
type choice struct {
	endpoint *endpoint.Endpoint
	cost     float64
}

func (c *choice) offer(e *endpoint.Endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		*c = choice{endpoint: e, cost: cost}
	}
}

// choices holds the best preferred endpoint and the best of the endpoints that are
// eligible but not preferred.
type choices struct {
	preferred, fallback choice
	// slowest has the longest time per token among the endpoints without recent failures.
	slowest *endpoint.Endpoint
}

func (c *choices) best() choice {
	if c.preferred.endpoint != nil {
		return c.preferred
	}
	return c.fallback
}

// Pick implements Picker.
func (c *Chooser) Pick(endpoints []*endpoint.Endpoint, work *Work, _ time.Time, random *rand.Rand) (*endpoint.Endpoint, bool) {
	if len(endpoints) == 0 {
		return nil, false
	}
	seen := c.sample(endpoints, work, random)
	best := seen.best()
	if best.endpoint == nil {
		return c.scan(endpoints, work, random)
	}
	if e := probe(best.endpoint, seen.slowest, work, random); e != nil {
		return e, true
	}
	if e := c.prefixHome(endpoints, work, best, random); e != nil {
		return e, true
	}
	return best.endpoint, true
}

func (c *Chooser) sample(endpoints []*endpoint.Endpoint, work *Work, random *rand.Rand) choices {
	var seen choices
	n := len(endpoints)
	if n <= maxFullScan {
		start := random.IntN(n)
		for i := range n {
			c.consider(&seen, endpoints[(start+i)%n], work, random)
		}
		return seen
	}
	for range sampleSize {
		c.consider(&seen, endpoints[random.IntN(n)], work, random)
	}
	return seen
}

func (c *Chooser) consider(seen *choices, e *endpoint.Endpoint, work *Work, random *rand.Rand) {
	if !isEligible(e, work) {
		return
	}
	if e.Live.Failures.Load() == 0 {
		seen.slowest = slower(seen.slowest, e, work)
	}
	cost := c.cost(e, work)
	if c.isPreferred(e, work, random) {
		seen.preferred.offer(e, cost)
		return
	}
	seen.fallback.offer(e, cost)
}

func (c *Chooser) isPreferred(e *endpoint.Endpoint, work *Work, random *rand.Rand) bool {
	if !work.Interactive && c.Lane.Has(e) {
		return false
	}
	return isPreferred(e, random)
}

func (c *Chooser) cost(e *endpoint.Endpoint, work *Work) float64 {
	var sum float64
	for _, s := range c.Scorers {
		sum += s.Score(e, work)
	}
	return sum
}

// prefixHome returns a preferred home of the work's prefix if its cost is within the bound,
// or nil.
func (c *Chooser) prefixHome(endpoints []*endpoint.Endpoint, work *Work, best choice, random *rand.Rand) *endpoint.Endpoint {
	if work.Prefix == 0 {
		return nil
	}
	for k := range prefixHomes {
		e := endpoints[prefixHome(work.Prefix, k, len(endpoints))]
		if !isEligible(e, work) || !c.isPreferred(e, work, random) {
			continue
		}
		if c.cost(e, work) <= best.cost*affinityCostRatio {
			return e
		}
	}
	return nil
}

// scan is the last resort when the sample contains no eligible endpoint. It considers
// all endpoints from a random start and picks the eligible one with the fewest failures,
// then the lowest demotion.
func (c *Chooser) scan(endpoints []*endpoint.Endpoint, work *Work, random *rand.Rand) (*endpoint.Endpoint, bool) {
	var found *endpoint.Endpoint
	n := len(endpoints)
	start := random.IntN(n)
	for i := range n {
		e := endpoints[(start+i)%n]
		if !isEligible(e, work) {
			continue
		}
		if found == nil || fewerFailures(e, found) {
			found = e
		}
	}
	return found, found != nil
}

func fewerFailures(a, b *endpoint.Endpoint) bool {
	failuresA, failuresB := a.Live.Failures.Load(), b.Live.Failures.Load()
	if failuresA != failuresB {
		return failuresA < failuresB
	}
	return a.Demotion < b.Demotion
}
