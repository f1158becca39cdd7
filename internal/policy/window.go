package policy

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Dimensions of a window: values per histogram, largest value, significant digits.
const (
	windowSamples = 512
	windowMax     = int64(1) << 40
	windowDigits  = 2
)

// Window estimates the mean and quantiles of recent values. It fills one histogram of 512
// values while it reads the previous one, so an estimate is based on 512 of the last 1,024
// values, or on fewer until the first histogram is full. It is safe for concurrent use; the
// zero value is ready to use.
type Window struct {
	mu       sync.Mutex
	filling  *hdrhistogram.Histogram
	complete *hdrhistogram.Histogram
}

// Observe records a value.
func (w *Window) Observe(value int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.filling == nil {
		w.filling = hdrhistogram.New(1, windowMax, windowDigits)
	}
	// Values outside the range are clamped to it.
	_ = w.filling.RecordValue(min(max(value, 1), windowMax))
	if w.filling.TotalCount() >= windowSamples {
		w.rotate()
	}
}

func (w *Window) rotate() {
	old := w.complete
	w.complete, w.filling = w.filling, old
	if w.filling != nil {
		w.filling.Reset()
	}
}

// Quantile returns the value at quantile q (0 to 1) and the number of values that the
// estimate is based on.
func (w *Window) Quantile(q float64) (int64, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.current()
	if h == nil {
		return 0, 0
	}
	return h.ValueAtQuantile(100 * q), h.TotalCount()
}

// Mean returns the mean value and the number of values that it is based on.
func (w *Window) Mean() (float64, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.current()
	if h == nil {
		return 0, 0
	}
	return h.Mean(), h.TotalCount()
}

func (w *Window) current() *hdrhistogram.Histogram {
	if w.complete != nil {
		return w.complete
	}
	return w.filling
}
