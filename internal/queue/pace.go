package queue

import (
	"math"
	"time"
)

// Parameters of the pace estimate.
const (
	// paceDecay is the factor by which each observation reduces the weight of earlier ones.
	paceDecay = 0.98
	// defaultTokenTime is the time per token assumed before the first observation.
	defaultTokenTime = time.Millisecond
	// upperBoundDeviations is the number of mean deviations above the expected duration
	// that few answers exceed.
	upperBoundDeviations = 2.5
)

// pace estimates the mean time per expected token and the mean deviation of answers from
// it. Both are ratios of exponentially decayed sums, so that answers are weighted by
// their length.
type pace struct {
	elapsed, tokens, deviation float64
}

func (p *pace) observe(tokens int, elapsed time.Duration) {
	deviation := math.Abs(float64(elapsed - p.expect(tokens)))
	p.elapsed = p.elapsed*paceDecay + float64(elapsed)
	p.tokens = p.tokens*paceDecay + float64(max(tokens, 1))
	p.deviation = p.deviation*paceDecay + deviation
}

func (p *pace) expect(tokens int) time.Duration {
	perToken := float64(defaultTokenTime)
	if p.tokens > 0 {
		perToken = p.elapsed / p.tokens
	}
	return time.Duration(perToken * float64(max(tokens, 1)))
}

// upperBound returns a duration that few answers exceed.
func (p *pace) upperBound(tokens int) time.Duration {
	expected := p.expect(tokens)
	if p.elapsed <= 0 {
		return expected
	}
	return expected + time.Duration(upperBoundDeviations*p.deviation/p.elapsed*float64(expected))
}
