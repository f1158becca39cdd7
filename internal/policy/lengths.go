package policy

// minLengthObservations is the number of answers required for a prediction.
const minLengthObservations = 16

// Lengths predicts the length of answers from the recent answers of the same class
// and model. It is safe for concurrent use; the zero value is ready to use.
type Lengths struct {
	windows windows
}

// Observe records the length of a complete answer, in tokens.
func (l *Lengths) Observe(work *Work, tokens int) {
	l.windows.get(work).Observe(int64(tokens))
}

// Expect returns the mean length in tokens, at most limit. It returns limit while
// there are too few observations.
func (l *Lengths) Expect(work *Work, limit int) int {
	mean, count := l.windows.get(work).Mean()
	if count < minLengthObservations {
		return limit
	}
	return min(int(mean+0.5), limit)
}

// Quantile returns the length in tokens at quantile q (0 to 1) and whether there are
// enough observations for the estimate.
func (l *Lengths) Quantile(work *Work, q float64) (int, bool) {
	value, count := l.windows.get(work).Quantile(q)
	return int(value), count >= minLengthObservations
}
