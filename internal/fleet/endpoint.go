// Package fleet is the directory of endpoints, what this node has seen of each,
// and the choice of one for a piece of work: filter, score, choose.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is an immutable picture of one endpoint. Live points to what traffic
// goroutines learn of it.
type Endpoint struct {
	ID      string
	Service string
	Address string // host:port
	Zone    string
	Slots   int
	// Draining: it gets no new work.
	Draining bool
	// Versions are the weight versions that it told in the directory, by model.
	Versions map[string]int64
	// Born is when it started; an endpoint that starts again knows nothing of
	// before.
	Born int64
	Live *Live
}

// Version returns the version of a model that the endpoint surely has reached,
// from the directory or from its own answers; zero when it holds none.
func (e *Endpoint) Version(model string) int64 {
	return max(e.Versions[model], e.Live.seenVersion(model))
}

// Load is an endpoint's own word of its load.
type Load struct {
	Running, Waiting, Slots int
	// Percent is how long work takes now; 100 is as usual, zero is not told.
	Percent int
}

// Live is what this node's traffic knows of an endpoint. It outlives pictures
// and is safe for concurrent use; the zero value works.
type Live struct {
	inFlight atomic.Int64
	load     atomic.Pointer[reported]
	// failures counts failures since the last success.
	failures  atomic.Int64
	avoidTill atomic.Int64 // Unix nanoseconds
	fullTill  atomic.Int64 // Unix nanoseconds
	// loadsTill is until when an order to load weights is believed to run, in
	// Unix nanoseconds.
	loadsTill atomic.Int64
	pace      atomic.Int64 // nanoseconds an event
	paceAt    atomic.Int64 // Unix nanoseconds

	mu       sync.Mutex
	versions map[string]int64
}

type reported struct {
	load Load
	own  int64
	at   time.Time
}

// InFlight returns how many of this node's requests the endpoint holds.
func (l *Live) InFlight() int64 { return l.inFlight.Load() }

// Begin counts a request; the caller calls the returned function once at its end.
func (l *Live) Begin() func() {
	l.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { l.inFlight.Add(-1) }) }
}

// Report records the endpoint's own word of its load.
func (l *Live) Report(load Load, now time.Time) {
	l.load.Store(&reported{load: load, own: l.inFlight.Load(), at: now})
}

// Bounds of how long a failing endpoint is passed over.
const (
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 2 * time.Second
)

// Fail records a failure: the endpoint is passed over for a while, longer with
// each failure in a row.
func (l *Live) Fail(now time.Time) {
	n := min(l.failures.Add(1)-1, 4)
	l.avoidTill.Store(now.Add(min(avoidFirst<<n, avoidMost)).UnixNano())
}

// Succeed records a whole answer.
func (l *Live) Succeed() {
	l.failures.Store(0)
	l.avoidTill.Store(0)
}

// Avoided reports whether the endpoint failed lately.
func (l *Live) Avoided(now time.Time) bool { return l.avoidTill.Load() > now.UnixNano() }

// MarkFull records that the endpoint refused work for now.
func (l *Live) MarkFull(till time.Time) { l.fullTill.Store(till.UnixNano()) }

// IsFull reports whether the endpoint refused work just now.
func (l *Live) IsFull(now time.Time) bool { return l.fullTill.Load() > now.UnixNano() }

// MarkLoading records until when the endpoint is believed to load weights.
func (l *Live) MarkLoading(till time.Time) { l.loadsTill.Store(till.UnixNano()) }

// IsLoading reports whether the endpoint is believed to load weights.
func (l *Live) IsLoading(now time.Time) bool { return l.loadsTill.Load() > now.UnixNano() }

// paceWeight is the divisor of the newest value in the moving average of pace.
const paceWeight = 6

// ObservePace records the time between two events of a stream.
func (l *Live) ObservePace(gap time.Duration, now time.Time) {
	l.paceAt.Store(now.UnixNano())
	old := l.pace.Load()
	if old == 0 {
		l.pace.Store(int64(gap))
		return
	}
	l.pace.Store(old + (int64(gap)-old)/paceWeight)
}

// Pace returns the moving average of the time between two events, and when it
// was last measured; zero is not known.
func (l *Live) Pace() (time.Duration, time.Time) {
	return time.Duration(l.pace.Load()), time.Unix(0, l.paceAt.Load())
}

// SawVersion records a version that the endpoint itself told.
func (l *Live) SawVersion(model string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions == nil {
		l.versions = map[string]int64{}
	}
	l.versions[model] = max(l.versions[model], version)
}

func (l *Live) seenVersion(model string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[model]
}

// loadTrust is how long a report of load is believed.
const loadTrust = time.Second

// held estimates how many requests the endpoint holds of all callers.
func (l *Live) held(now time.Time) int64 {
	own := l.inFlight.Load()
	r := l.load.Load()
	if r == nil || now.Sub(r.at) > loadTrust {
		return own
	}
	others := max(int64(r.load.Running+r.load.Waiting)-r.own, 0)
	return own + others
}

// percent returns how long work takes at the endpoint, 100 being as usual.
func (l *Live) percent(now time.Time) int64 {
	r := l.load.Load()
	if r == nil || r.load.Percent <= 0 || now.Sub(r.at) > loadTrust {
		return 100
	}
	return int64(r.load.Percent)
}
