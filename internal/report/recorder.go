// Package report shows on one phone screen whether each class meets its targets, what
// the system did for it, and what the operator can do now.
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

// Parameters of the sliding window.
const (
	// slotLength is the time that one slot of the window covers.
	slotLength = 10 * time.Second
	// slots is the number of slots of the window.
	slots = 6
	// Window is the time that the reported figures cover.
	Window = slots * slotLength
)

// Histograms record milliseconds up to one day with two significant figures.
const (
	minMillis          = 1
	maxMillis          = int64(24 * time.Hour / time.Millisecond)
	significantFigures = 2
)

// Limits of the names of models and applications recorded for a class.
const (
	maxServes       = 8
	maxServesLength = 64 // bytes
)

// Observation describes how one request ended.
type Observation struct {
	Class string
	// Serves is the requested model or application; it is empty when unknown.
	Serves  string
	Outcome request.Outcome
	Took    time.Duration
	// InTime reports whether the complete answer came within the class's lateness.
	InTime  bool
	Retries int
	Hedges  int
	// Refusal is the reason why the request did not run.
	Refusal traffic.Refusal
	// Weights describes the weights of an answer; Stale reports whether they exceed the
	// class's freshness target.
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

// NewRecorder returns an empty Recorder with the clock now; nil means time.Now.
func NewRecorder(now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{now: now, classes: map[string]*window{}}
}

// Observe counts one request. Requests of classes beyond class.MaxClasses are ignored.
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

// Digests returns the sums over the window for each class of the document, including
// classes without work. It drops the figures of all other classes.
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

// window is a ring of the latest slots of one class.
type window struct {
	ring [slots]slot
}

// slot holds the figures of one interval of slotLength.
type slot struct {
	// number is the number of slots since the Unix epoch.
	number    int64
	figures   peerpb.ClassDigest
	latencies *hdrhistogram.Histogram
}

func numberOf(now time.Time) int64 {
	return now.UnixNano() / int64(slotLength)
}

// slot returns the slot for now and clears it first if its figures are outdated.
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

// addCounts adds the counts of one digest to those of another.
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

// addServes adds names that are not in a digest yet, up to maxServes names.
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
