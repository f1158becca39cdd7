package policy

import (
	"slices"
	"time"
)

// EndpointLatency is the recent latency of one endpoint.
type EndpointLatency struct {
	ID string
	// TokenNanos is the recent time per token (or per call of a service), in
	// nanoseconds; zero means unknown.
	TokenNanos int64
}

// Limits on demotion.
const (
	// outlierRatio is the ratio to the median latency at which an endpoint is an outlier.
	outlierRatio = 2.0
	// recoveryRatio is the ratio to the median latency below which an outlier recovers.
	recoveryRatio = 1.5
	// demoteStep and recoverStep bound how much one decision changes a demotion.
	demoteStep  = 0.25
	recoverStep = 0.125
	// maxDemotion is below 1 so that the remaining work probes the endpoint.
	maxDemotion = 0.95
	// maxDemotedFraction bounds the fraction of a model's endpoints demoted at the same time.
	maxDemotedFraction = 1.0 / 3
	// minPeers is the number of endpoints with a known latency that a comparison requires.
	minPeers = 3
	// decideInterval is the shortest time between two decisions.
	decideInterval = 200 * time.Millisecond
)

// Outliers detects endpoints that are slower than the other endpoints of a model and
// demotes them gradually. It is not safe for concurrent use; the zero value is ready to
// use.
type Outliers struct {
	demotions map[string]float64
	decidedAt time.Time
}

// Decide compares the endpoints of one model and returns, by ID, the fraction of work
// withheld from each demoted endpoint. Calls within decideInterval of the last decision
// return that decision.
func (o *Outliers) Decide(latencies []EndpointLatency, now time.Time) map[string]float64 {
	if !o.decidedAt.IsZero() && now.Sub(o.decidedAt) < decideInterval {
		return o.demotions
	}
	o.decidedAt = now
	medianNanos := median(latencies)
	next := make(map[string]float64)
	for _, s := range slowestFirst(latencies) {
		demotion := nextDemotion(o.demotions[s.ID], ratio(s, medianNanos))
		if demotion > 0 && float64(len(next)+1) <= maxDemotedFraction*float64(len(latencies)) {
			next[s.ID] = demotion
		}
	}
	o.demotions = next
	return next
}

// nextDemotion moves a demotion one step towards the target for the latency ratio.
func nextDemotion(demotion, ratio float64) float64 {
	if ratio >= outlierRatio {
		target := min(1-1/(ratio*ratio), maxDemotion)
		return min(demotion+demoteStep, max(target, demotion))
	}
	if ratio < recoveryRatio {
		return max(demotion-recoverStep, 0)
	}
	return demotion
}

func ratio(s EndpointLatency, medianNanos int64) float64 {
	if s.TokenNanos == 0 || medianNanos == 0 {
		return 1
	}
	return float64(s.TokenNanos) / float64(medianNanos)
}

// median returns the median of the known latencies, or zero if too few are known.
func median(latencies []EndpointLatency) int64 {
	var measured []int64
	for _, s := range latencies {
		if s.TokenNanos > 0 {
			measured = append(measured, s.TokenNanos)
		}
	}
	if len(measured) < minPeers {
		return 0
	}
	slices.Sort(measured)
	return measured[(len(measured)-1)/2]
}

func slowestFirst(latencies []EndpointLatency) []EndpointLatency {
	ordered := slices.Clone(latencies)
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
