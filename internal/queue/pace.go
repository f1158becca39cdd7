package queue

import "time"

// Limits of the pace.
const (
	// paceDecay is how much of the past is kept with each observation.
	paceDecay = 0.98
	// assumedToken is the time per token before anything was seen.
	assumedToken = time.Millisecond
)

// pace is the mean time that one expected token takes, learnt as a ratio of
// decayed sums, so that a few long answers count by their length.
type pace struct {
	took, tokens float64
}

func (p *pace) observe(tokens int, took time.Duration) {
	p.took = p.took*paceDecay + float64(took)
	p.tokens = p.tokens*paceDecay + float64(max(tokens, 1))
}

func (p *pace) expect(tokens int) time.Duration {
	perToken := float64(assumedToken)
	if p.tokens > 0 {
		perToken = p.took / p.tokens
	}
	return time.Duration(perToken * float64(max(tokens, 1)))
}
