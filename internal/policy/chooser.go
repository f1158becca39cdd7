package policy

import (
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Scorer gives the cost of an endpoint for work, in nanoseconds; the costs of
// all scorers are added up, and the lowest sum wins.
type Scorer interface {
	Score(e *endpoint.Endpoint, work *Work) float64
}

// Bounds of one choice, so that it does not grow with the fleet.
const (
	// scanAll is the largest number of endpoints that are all looked at.
	scanAll = 16
	// sampled is how many of a larger number are looked at.
	sampled = 6
	// affinityBound is how much worse than the best a home of the prompt's
	// prefix may be and still be chosen.
	affinityBound = 1.3
)

// Chooser picks the endpoint of the least cost among a bounded random sample,
// and keeps to a home of the prompt's prefix while its cost is near the least.
// It is safe for concurrent use; the zero value picks at random.
type Chooser struct {
	Scorers []Scorer
	// Lane is kept free of work that nobody waits on; nil is none.
	Lane *Lane
}

// choice is the best endpoint seen so far.
type choice struct {
	endpoint *endpoint.Endpoint
	cost     float64
}

func (c *choice) offer(e *endpoint.Endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		*c = choice{endpoint: e, cost: cost}
	}
}

// choices are the best endpoint of those that should take the work, and of
// those that only may.
type choices struct {
	should, may choice
	// slowest took longest per token of those that did not just fail.
	slowest *endpoint.Endpoint
}

func (c *choices) best() choice {
	if c.should.endpoint != nil {
		return c.should
	}
	return c.may
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
	if e := c.home(endpoints, work, best, random); e != nil {
		return e, true
	}
	return best.endpoint, true
}

func (c *Chooser) sample(endpoints []*endpoint.Endpoint, work *Work, random *rand.Rand) choices {
	var seen choices
	n := len(endpoints)
	if n <= scanAll {
		start := random.IntN(n)
		for i := range n {
			c.consider(&seen, endpoints[(start+i)%n], work, random)
		}
		return seen
	}
	for range sampled {
		c.consider(&seen, endpoints[random.IntN(n)], work, random)
	}
	return seen
}

func (c *Chooser) consider(seen *choices, e *endpoint.Endpoint, work *Work, random *rand.Rand) {
	if !mayTake(e, work) {
		return
	}
	if e.Live.Failures.Load() == 0 {
		seen.slowest = slower(seen.slowest, e, work)
	}
	cost := c.cost(e, work)
	if c.shouldTake(e, work, random) {
		seen.should.offer(e, cost)
		return
	}
	seen.may.offer(e, cost)
}

func (c *Chooser) shouldTake(e *endpoint.Endpoint, work *Work, random *rand.Rand) bool {
	if !work.Interactive && c.Lane.Has(e) {
		return false
	}
	return shouldTake(e, random)
}

func (c *Chooser) cost(e *endpoint.Endpoint, work *Work) float64 {
	var sum float64
	for _, s := range c.Scorers {
		sum += s.Score(e, work)
	}
	return sum
}

// home returns a home of the work's prefix whose cost is within the bound.
func (c *Chooser) home(endpoints []*endpoint.Endpoint, work *Work, best choice, random *rand.Rand) *endpoint.Endpoint {
	if work.Prefix == 0 {
		return nil
	}
	for k := range prefixHomes {
		e := endpoints[home(work.Prefix, k, len(endpoints))]
		if !mayTake(e, work) || !c.shouldTake(e, work, random) {
			continue
		}
		if c.cost(e, work) <= best.cost*affinityBound {
			return e
		}
	}
	return nil
}

// scan is the last resort when the sample held nobody that may take the work:
// it looks at all from a random start and takes the least troubled one.
func (c *Chooser) scan(endpoints []*endpoint.Endpoint, work *Work, random *rand.Rand) (*endpoint.Endpoint, bool) {
	var found *endpoint.Endpoint
	n := len(endpoints)
	start := random.IntN(n)
	for i := range n {
		e := endpoints[(start+i)%n]
		if !mayTake(e, work) {
			continue
		}
		if found == nil || lessTroubled(e, found) {
			found = e
		}
	}
	return found, found != nil
}

func lessTroubled(a, b *endpoint.Endpoint) bool {
	failuresA, failuresB := a.Live.Failures.Load(), b.Live.Failures.Load()
	if failuresA != failuresB {
		return failuresA < failuresB
	}
	return a.Demotion < b.Demotion
}
