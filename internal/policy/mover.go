package policy

import "time"

// Limits on moves.
const (
	// stragglerQuantile is the quantile of the observed lengths above which a sample
	// is a straggler.
	stragglerQuantile = 0.85
	// paceWindow is the number of tokens over which a sample's recent pace is measured.
	paceWindow = 6
	// slowPaceRatio is the ratio to the typical time per token above which a sample is
	// a straggler.
	slowPaceRatio = 2
	// maxMoves is the largest number of moves of one sample.
	maxMoves = 3
	// minPaceObservations is the number of samples required to estimate the typical pace.
	minPaceObservations = 16
)

// StragglerDetector detects stragglers among running samples: samples that are longer
// than most, and samples whose endpoint has become slow. The caller should move a
// straggler to another endpoint, where it resumes from its tokens as interactive work.
// It is safe for concurrent use; the zero value is ready to use.
type StragglerDetector struct {
	lengths Lengths
	paces   windows
}

// ObserveSample records the number of tokens and the duration of a completed sample.
func (m *StragglerDetector) ObserveSample(work *Work, tokens int, elapsed time.Duration) {
	m.lengths.Observe(work, tokens)
	if tokens > 0 {
		m.paces.get(work).Observe(elapsed.Nanoseconds() / int64(tokens))
	}
}

// SampleTracker follows one running sample. It is not safe for concurrent use.
type SampleTracker struct {
	detector *StragglerDetector
	work     *Work
	// long is the length in tokens above which the sample is a straggler, and
	// typicalPace is the typical time per token; zero means unknown.
	long        int
	typicalPace time.Duration
	recent      [paceWindow]time.Time
	tokensSeen  int
	moves       int
	isLong      bool
}

// Track returns a tracker for a sample that starts now.
func (m *StragglerDetector) Track(work *Work) *SampleTracker {
	w := &SampleTracker{detector: m, work: work}
	if long, known := m.lengths.Quantile(work, stragglerQuantile); known {
		w.long = long
	}
	if typicalPace, count := m.paces.get(work).Quantile(0.5); count >= minPaceObservations {
		w.typicalPace = time.Duration(typicalPace)
	}
	return w
}

// ObserveToken reports whether the sample should move now. The caller must call it for
// each token received; tokens is the total number of tokens of the sample so far.
func (w *SampleTracker) ObserveToken(now time.Time, tokens int) bool {
	oldest := w.recent[w.tokensSeen%paceWindow]
	w.recent[w.tokensSeen%paceWindow] = now
	w.tokensSeen++
	if w.moves >= maxMoves {
		return false
	}
	if w.long > 0 && tokens > w.long && !w.isLong {
		w.isLong = true
		return w.recordMove()
	}
	slow := w.typicalPace > 0 && !oldest.IsZero() && now.Sub(oldest) > time.Duration(slowPaceRatio*paceWindow*float64(w.typicalPace))
	return slow && w.recordMove()
}

func (w *SampleTracker) recordMove() bool {
	w.moves++
	w.tokensSeen = 0
	w.recent = [paceWindow]time.Time{}
	return true
}

// Straggler reports whether the sample has been identified as a straggler.
func (w *SampleTracker) Straggler() bool { return w.moves > 0 }
