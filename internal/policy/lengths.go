package policy

// minLengthSamples is how many answers a prediction needs.
const minLengthSamples = 16

// Lengths predicts the length of answers from the last ones of the same class
// and model. Safe for concurrent use; the zero value works.
type Lengths struct {
	windows windows
}

// Observe records the length of a whole answer, in tokens.
func (l *Lengths) Observe(work *Work, tokens int) {
	l.windows.of(work).Observe(int64(tokens))
}

// Expect returns the mean length, in tokens and at most limit; limit itself
// while too little is known.
func (l *Lengths) Expect(work *Work, limit int) int {
	mean, count := l.windows.of(work).Mean()
	if count < minLengthSamples {
		return limit
	}
	return min(int(mean+0.5), limit)
}

// Quantile returns the length at quantile q (0 to 1) and whether enough is
// known to tell.
func (l *Lengths) Quantile(work *Work, q float64) (int, bool) {
	value, count := l.windows.of(work).Quantile(q)
	return int(value), count >= minLengthSamples
}
