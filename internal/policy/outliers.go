package policy

import (
	"slices"
	"time"
)

// EndpointLatency is what was seen lately of one endpoint.
type EndpointLatency struct {
	ID string
	// TokenNanos is the recent time per token (or per call of a service), in
	// nanoseconds; zero is not known.
	TokenNanos int64
}

// Limits of demotion.
const (
	// slowRatio is how many times the median makes an outlier.
	slowRatio = 2.0
	// clearRatio is how near to the median an outlier must come to recover.
	clearRatio = 1.5
	// demoteStep and recoverStep bound the change of one decision.
	demoteStep  = 0.25
	recoverStep = 0.125
	// maxDemotion leaves a share of work that probes the endpoint.
	maxDemotion = 0.95
	// maxDemotedShare bounds how many peers are demoted at once.
	maxDemotedShare = 1.0 / 3
	// minPeers is how many peers a comparison needs.
	minPeers = 3
	// decideEvery is the shortest time between two decisions.
	decideEvery = 200 * time.Millisecond
)

// Outliers finds endpoints that are slower than their peers of one model and
// demotes them step by step. It belongs to one goroutine; the zero value
// works.
type Outliers struct {
	demotions map[string]float64
	decided   time.Time
}

// Decide compares peers of one model and returns the share of its work that is
// withheld from each demoted endpoint, by ID. Calls that come too soon after
// each other return the last decision.
func (o *Outliers) Decide(samples []EndpointLatency, now time.Time) map[string]float64 {
	if !o.decided.IsZero() && now.Sub(o.decided) < decideEvery {
		return o.demotions
	}
	o.decided = now
	middle := median(samples)
	next := make(map[string]float64)
	for _, s := range slowestFirst(samples) {
		demotion := step(o.demotions[s.ID], ratio(s, middle))
		if demotion > 0 && float64(len(next)+1) <= maxDemotedShare*float64(len(samples)) {
			next[s.ID] = demotion
		}
	}
	o.demotions = next
	return next
}

// step moves a demotion towards what the ratio calls for.
func step(demotion, ratio float64) float64 {
	if ratio >= slowRatio {
		target := min(1-1/(ratio*ratio), maxDemotion)
		return min(demotion+demoteStep, max(target, demotion))
	}
	if ratio < clearRatio {
		return max(demotion-recoverStep, 0)
	}
	return demotion
}

func ratio(s EndpointLatency, middle int64) float64 {
	if s.TokenNanos == 0 || middle == 0 {
		return 1
	}
	return float64(s.TokenNanos) / float64(middle)
}

// median returns the median of the known times; zero when too few are known.
func median(samples []EndpointLatency) int64 {
	var known []int64
	for _, s := range samples {
		if s.TokenNanos > 0 {
			known = append(known, s.TokenNanos)
		}
	}
	if len(known) < minPeers {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

func slowestFirst(samples []EndpointLatency) []EndpointLatency {
	ordered := slices.Clone(samples)
	slices.SortStableFunc(ordered, func(a, b EndpointLatency) int {
		switch {
		case a.TokenNanos > b.TokenNanos:
			return -1
		case a.TokenNanos < b.TokenNanos:
			return 1
		}
		return 0
	})
	return ordered
}
