package policy

import "time"

// Limits of moves.
const (
	// longQuantile of the lengths seen makes a sample a straggler.
	longQuantile = 0.85
	// paceTokens is over how many tokens a sample's recent pace is taken.
	paceTokens = 6
	// slowPace is how many times the usual pace makes a sample a straggler.
	slowPace = 2
	// maxMoves bounds the moves of one sample.
	maxMoves = 3
	// minPaceSamples is how many samples the usual pace needs.
	minPaceSamples = 16
)

// StragglerDetector finds stragglers among running samples: those that run longer than most
// and those whose endpoint has become slow. They are to go on elsewhere, as work
// that somebody waits on, with the tokens that they have. It is safe for
// concurrent use; the zero value works.
type StragglerDetector struct {
	lengths Lengths
	paces   windows
}

// ObserveSample records a whole sample: its tokens, and how long it took.
func (m *StragglerDetector) ObserveSample(work *Work, tokens int, took time.Duration) {
	m.lengths.Observe(work, tokens)
	if tokens > 0 {
		m.paces.of(work).Observe(took.Nanoseconds() / int64(tokens))
	}
}

// SampleTracker follows one sample. It belongs to one goroutine.
type SampleTracker struct {
	mover *StragglerDetector
	work  *Work
	// long is the length of a straggler, usual the usual time per token;
	// zero is not known.
	long   int
	usual  time.Duration
	recent [paceTokens]time.Time
	pieces int
	moves  int
	isLong bool
}

// Track starts to follow a sample.
func (m *StragglerDetector) Track(work *Work) *SampleTracker {
	w := &SampleTracker{mover: m, work: work}
	if long, known := m.lengths.Quantile(work, longQuantile); known {
		w.long = long
	}
	if usual, count := m.paces.of(work).Quantile(0.5); count >= minPaceSamples {
		w.usual = time.Duration(usual)
	}
	return w
}

// ObserveToken reports whether the sample should move now. It is to be called with each
// token that comes; tokens is how many the sample has.
func (w *SampleTracker) ObserveToken(now time.Time, tokens int) bool {
	oldest := w.recent[w.pieces%paceTokens]
	w.recent[w.pieces%paceTokens] = now
	w.pieces++
	if w.moves >= maxMoves {
		return false
	}
	if w.long > 0 && tokens > w.long && !w.isLong {
		w.isLong = true
		return w.moved()
	}
	slow := w.usual > 0 && !oldest.IsZero() && now.Sub(oldest) > time.Duration(slowPace*paceTokens*float64(w.usual))
	return slow && w.moved()
}

func (w *SampleTracker) moved() bool {
	w.moves++
	w.pieces = 0
	w.recent = [paceTokens]time.Time{}
	return true
}

// Straggler reports whether the sample was found to be one.
func (w *SampleTracker) Straggler() bool { return w.moves > 0 }
