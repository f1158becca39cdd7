package policy

import "time"

// Limits on moves.
const (
	// stragglerQuantile is the quantile of the lengths of completed samples above which a
	// sample is a straggler.
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
func (d *StragglerDetector) ObserveSample(work *Work, tokens int, elapsed time.Duration) {
	d.lengths.Observe(work, tokens)
	if tokens > 0 {
		d.paces.get(work).Observe(elapsed.Nanoseconds() / int64(tokens))
	}
}

// SampleTracker follows one running sample. It is not safe for concurrent use.
type SampleTracker struct {
	detector *StragglerDetector
	work     *Work
	// stragglerLength is the length in tokens above which the sample is a straggler, and
	// typicalPace is the typical time per token; zero means unknown.
	stragglerLength int
	typicalPace     time.Duration
	// recent holds the times of the last tokens, and tokensSeen counts the tokens, both
	// since the sample started or last moved.
	recent     [paceWindow]time.Time
	tokensSeen int
	moves      int
	isLong     bool
}

// Track returns a tracker for a sample that starts now. The tracker uses the estimates of
// this moment.
func (d *StragglerDetector) Track(work *Work) *SampleTracker {
	t := &SampleTracker{detector: d, work: work}
	if stragglerLength, known := d.lengths.Quantile(work, stragglerQuantile); known {
		t.stragglerLength = stragglerLength
	}
	if typicalPace, count := d.paces.get(work).Quantile(0.5); count >= minPaceObservations {
		t.typicalPace = time.Duration(typicalPace)
	}
	return t
}

// ObserveToken reports whether the sample should move now. The caller must call it for
// each token received; tokens is the total number of tokens of the sample so far.
func (t *SampleTracker) ObserveToken(now time.Time, tokens int) bool {
	oldest := t.recent[t.tokensSeen%paceWindow]
	t.recent[t.tokensSeen%paceWindow] = now
	t.tokensSeen++
	if t.moves >= maxMoves {
		return false
	}
	if t.stragglerLength > 0 && tokens > t.stragglerLength && !t.isLong {
		t.isLong = true
		return t.recordMove()
	}
	slow := t.typicalPace > 0 && !oldest.IsZero() && now.Sub(oldest) > time.Duration(slowPaceRatio*paceWindow*float64(t.typicalPace))
	return slow && t.recordMove()
}

func (t *SampleTracker) recordMove() bool {
	t.moves++
	t.tokensSeen = 0
	t.recent = [paceWindow]time.Time{}
	return true
}

// Straggler reports whether the sample has been identified as a straggler.
func (t *SampleTracker) Straggler() bool { return t.moves > 0 }
