package queue

import (
	"math"
	"time"
)

// Limits of the pace.
const (
	// paceDecay is how much of the past is kept with each observation.
	paceDecay = 0.98
	// assumedToken is the time per token before anything was seen.
	assumedToken = time.Millisecond
	// mostDeviations is how many mean deviations few answers exceed.
	mostDeviations = 2.5
)

// pace is the mean time that one expected token takes, learnt as a ratio of
// decayed sums, so that a few long answers count by their length, and by how
// much answers miss it.
type pace struct {
	took, tokens, missed float64
}

func (p *pace) observe(tokens int, took time.Duration) {
	missed := math.Abs(float64(took - p.expect(tokens)))
	p.took = p.took*paceDecay + float64(took)
	p.tokens = p.tokens*paceDecay + float64(max(tokens, 1))
	p.missed = p.missed*paceDecay + missed
}

func (p *pace) expect(tokens int) time.Duration {
	perToken := float64(assumedToken)
	if p.tokens > 0 {
		perToken = p.took / p.tokens
	}
	return time.Duration(perToken * float64(max(tokens, 1)))
}

// most is a time that few answers exceed.
func (p *pace) most(tokens int) time.Duration {
	expected := p.expect(tokens)
	if p.took <= 0 {
		return expected
	}
	return expected + time.Duration(mostDeviations*p.missed/p.took*float64(expected))
}
