package submission

import "math"

// Parameters of the estimate of lengths.
const (
	// initialSpread is the standard deviation of the logarithm of a length around its
	// expectation until lengths are observed.
	initialSpread = 0.5
	// initialLengths is how many observations the initial spread counts as.
	initialLengths = 8
	// lengthMemory is the number of observations after which older ones count less.
	lengthMemory = 500
	// maxTailRatio bounds the ratio of the remaining to the present length of a text that
	// is far longer than expected.
	maxTailRatio = 0.5
)

// lengths estimates how many events a text has, given the expected number of tokens that
// its request states and the number of events generated so far. Texts may be much longer
// or shorter than stated: the logarithm of the ratio is taken as normally distributed, and
// its mean and spread are learned from texts that are complete.
type lengths struct {
	observed float64
	mean     float64 // of ln(events/expected tokens)
	squares  float64 // sum of squared deviations
}

// observe records a complete text.
func (l *lengths) observe(expectedTokens int64, events int) {
	if expectedTokens <= 0 || events <= 0 {
		return
	}
	x := math.Log(float64(events) / float64(expectedTokens))
	if l.observed >= lengthMemory {
		keep := (lengthMemory - 1) / l.observed
		l.observed *= keep
		l.squares *= keep
	}
	l.observed++
	delta := x - l.mean
	l.mean += delta / l.observed
	l.squares += delta * (x - l.mean)
}

// spread returns the standard deviation of the logarithm of the ratio.
func (l *lengths) spread() float64 {
	squares := l.squares + initialLengths*initialSpread*initialSpread
	return max(math.Sqrt(squares/(l.observed+initialLengths)), 0.05)
}

// remaining returns the expected number of events that a text still lacks when it has the
// given number of events. Without observations it returns the number of events so far: a
// text that is already long has usually much left.
func (l *lengths) remaining(expectedTokens int64, events int) float64 {
	so := float64(events)
	if l.observed == 0 || expectedTokens <= 0 {
		return max(so, 1)
	}
	spread := l.spread()
	median := math.Log(float64(expectedTokens)) + l.mean
	mean := math.Exp(median + spread*spread/2)
	if events == 0 {
		return max(mean, 1)
	}
	z := (math.Log(so) - median) / spread
	beyond := upperTail(z)
	if beyond < 1e-6 {
		return max(maxTailRatio*so, 1)
	}
	return max(mean*upperTail(z-spread)/beyond-so, 1)
}

// upperTail returns the probability that a standard normal variable exceeds z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
