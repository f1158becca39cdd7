// Package report answers in a screenful of a phone: is each class meeting its
// targets, what was done about it, and what can the operator do now.
package report

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/traffic"
)

// Window of the figures.
const (
	// slotLength is how long one slot of the window takes figures.
	slotLength = 10 * time.Second
	// slots is the number of slots of the window.
	slots = 6
	// Window is the time that the figures cover.
	Window = slots * slotLength
)

// Histograms hold milliseconds up to a day with two significant figures.
const (
	minMillis          = 1
	maxMillis          = int64(24 * time.Hour / time.Millisecond)
	significantFigures = 2
)

// Bounds of the names of models and applications kept for a class.
const (
	maxServes       = 8
	maxServesLength = 64 // bytes
)

// Observation is how one request ended.
type Observation struct {
	Class string
	// Serves is the model or application asked for; empty when none is known.
	Serves  string
	Outcome request.Outcome
	Took    time.Duration
	// InTime: the whole answer came within the class's lateness.
	InTime  bool
	Retries int
	Hedges  int
	// Refusal is why it did not run.
	Refusal traffic.Refusal
	// Weights are those of an answer; Stale: they are over the class's target.
	Weights dispatch.Weights
	Stale   bool
}

// Recorder counts how requests ended within a sliding window. It is safe for
// concurrent use.
type Recorder struct {
	now func() time.Time

	mu      sync.Mutex
	classes map[string]*window
}

// NewRecorder returns an empty Recorder; nil is time.Now.
func NewRecorder(now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{now: now, classes: map[string]*window{}}
}

// Observe counts one request. Classes beyond class.MaxClasses are not counted.
func (r *Recorder) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, known := r.classes[o.Class]
	if !known {
		if len(r.classes) >= class.MaxClasses {
			return
		}
		w = &window{}
		r.classes[o.Class] = w
	}
	w.slot(r.now()).add(o)
}

// Digests sums up the window of each class of the document, one without work
// included, and forgets other classes.
func (r *Recorder) Digests(d *class.Document) []*peerpb.ClassDigest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	kept := make(map[string]*window, len(d.Classes))
	digests := make([]*peerpb.ClassDigest, 0, len(d.Classes))
	for _, c := range d.Classes {
		w := r.classes[c.Name]
		if w == nil {
			w = &window{}
		}
		kept[c.Name] = w
		digests = append(digests, w.digest(c.Name, now))
	}
	r.classes = kept
	return digests
}

// window is the latest slots of one class, in a ring.
type window struct {
	ring [slots]slot
}

// slot holds the figures of one slotLength.
type slot struct {
	// number is the count of slots since the Unix epoch.
	number    int64
	figures   peerpb.ClassDigest
	latencies *hdrhistogram.Histogram
}

func numberOf(now time.Time) int64 {
	return now.UnixNano() / int64(slotLength)
}

// slot returns the slot of now, emptied if it held older figures.
func (w *window) slot(now time.Time) *slot {
	number := numberOf(now)
	s := &w.ring[number%slots]
	if s.number != number {
		s.number = number
		s.figures.Reset()
		if s.latencies != nil {
			s.latencies.Reset()
		}
	}
	return s
}

func (s *slot) add(o Observation) {
	addServes(&s.figures, o.Serves)
	s.figures.Retries += int64(o.Retries)
	s.figures.Hedges += int64(o.Hedges)
	switch o.Outcome {
	case request.Answered:
		s.answered(o)
	case request.NotRun:
		s.refused(o.Refusal)
	default:
		s.figures.Unknown++
	}
}

func (s *slot) answered(o Observation) {
	s.figures.Answered++
	if o.InTime {
		s.figures.InTime++
	}
	s.weights(o)
	if s.latencies == nil {
		s.latencies = hdrhistogram.New(minMillis, maxMillis, significantFigures)
	}
	// The value is within the histogram's range, so recording can't fail.
	_ = s.latencies.RecordValue(min(max(o.Took.Milliseconds(), minMillis), maxMillis))
}

func (s *slot) refused(cause traffic.Refusal) {
	s.figures.NotRun++
	switch cause {
	case traffic.RefusedNoEndpoint:
		s.figures.NoEndpoint++
	case traffic.RefusedUnclaimed:
		s.figures.Unclaimed++
	case traffic.RefusedFull:
		s.figures.Full++
	case traffic.RefusedInvalid:
		s.figures.Invalid++
	}
}

func (s *slot) weights(o Observation) {
	switch {
	case !o.Weights.Used:
		return
	case !o.Weights.Known:
		s.figures.Unversioned++
		return
	}
	s.figures.Versioned++
	s.figures.MaxBehind = max(s.figures.MaxBehind, o.Weights.Behind)
	s.figures.MaxWeightsAgeMs = max(s.figures.MaxWeightsAgeMs, o.Weights.Age.Milliseconds())
	if o.Weights.AgeKnown {
		s.figures.Aged++
	}
	if o.Stale {
		s.figures.Stale++
	}
}

func (w *window) digest(name string, now time.Time) *peerpb.ClassDigest {
	digest := &peerpb.ClassDigest{Class: name, WindowMs: Window.Milliseconds(), Sequence: now.UnixMilli()}
	var merged *hdrhistogram.Histogram
	newest := numberOf(now)
	for i := range w.ring {
		s := &w.ring[i]
		if s.number <= newest-slots || s.number > newest {
			continue
		}
		addCounts(digest, &s.figures)
		merged = merge(merged, s.latencies)
	}
	if merged != nil {
		digest.P50Ms, digest.P99Ms = merged.ValueAtQuantile(50), merged.ValueAtQuantile(99)
	}
	return digest
}

// addCounts adds the counts of one digest to another's.
func addCounts(into, from *peerpb.ClassDigest) {
	addServes(into, from.Serves...)
	into.Answered += from.Answered
	into.InTime += from.InTime
	into.NotRun += from.NotRun
	into.NoEndpoint += from.NoEndpoint
	into.Unclaimed += from.Unclaimed
	into.Full += from.Full
	into.Invalid += from.Invalid
	into.Unknown += from.Unknown
	into.Retries += from.Retries
	into.Hedges += from.Hedges
	into.Versioned += from.Versioned
	into.Unversioned += from.Unversioned
	into.Stale += from.Stale
	into.Aged += from.Aged
	into.MaxWeightsAgeMs = max(into.MaxWeightsAgeMs, from.MaxWeightsAgeMs)
	into.MaxBehind = max(into.MaxBehind, from.MaxBehind)
}

// addServes adds names that are not in a digest yet, up to the bound.
func addServes(into *peerpb.ClassDigest, names ...string) {
	for _, name := range names {
		if len(name) == 0 || len(name) > maxServesLength || len(into.Serves) == maxServes || slices.Contains(into.Serves, name) {
			continue
		}
		into.Serves = append(into.Serves, name)
	}
}

func merge(into, from *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if from == nil || from.TotalCount() == 0 {
		return into
	}
	if into == nil {
		into = hdrhistogram.New(minMillis, maxMillis, significantFigures)
	}
	into.Merge(from)
	return into
}
