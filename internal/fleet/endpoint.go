// Package fleet contains the directory of endpoints, what this node has observed of
// each of them, and the choice of an endpoint for a request.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is an immutable snapshot of one endpoint. Live points to the state that
// this node's requests keep up to date.
type Endpoint struct {
	ID      string
	Service string
	Address string // host:port
	Zone    string
	Slots   int
	// Draining is true if the directory shows that the endpoint must not receive new work.
	Draining bool
	// Versions are the weight versions that the endpoint reported in the directory,
	// by model.
	Versions map[string]int64
	// Born is when the endpoint started; zero if its record does not say. An endpoint that
	// restarts keeps no state from before.
	Born int64
	// Changes is the number of changes that the endpoint has reported. It starts anew when
	// the endpoint restarts.
	Changes int64
	Live    *Live
}

// Leaving reports whether the endpoint must not receive new work, according to the
// directory or its own answers.
func (e *Endpoint) Leaving() bool { return e.Draining || e.Live.leaving.Load() }

// sameProcess reports whether a later record is from the process that wrote this one.
func (e *Endpoint) sameProcess(later *Endpoint) bool {
	if e.Born != 0 || later.Born != 0 {
		return e.Born == later.Born
	}
	return later.Changes >= e.Changes
}

// Version returns the newest weight version of a model that the endpoint is known
// to have reached, according to the directory and its own answers. It is zero if
// the endpoint has none.
func (e *Endpoint) Version(model string) int64 {
	return max(e.Versions[model], e.Live.observedVersion(model))
}

// Load is the load that an endpoint reports.
type Load struct {
	Running, Waiting, Slots int
	// Percent is how long work takes now, as a percentage of the usual time; zero
	// means that the endpoint did not report it.
	Percent int
}

// Live is what this node observed of an endpoint through its own requests. It is
// kept when the endpoint's snapshot is replaced. It is safe for concurrent use; the
// zero value is ready to use.
type Live struct {
	inFlight atomic.Int64
	load     atomic.Pointer[loadReport]
	// failures is the number of failures since the last success.
	failures   atomic.Int64
	avoidUntil atomic.Int64 // Unix nanoseconds
	fullUntil  atomic.Int64 // Unix nanoseconds
	// leaving means that the endpoint said in an answer that it is leaving, which holds as
	// long as its process lives.
	leaving atomic.Bool
	// left is called when leaving becomes true; nil calls nothing. It is set before the
	// endpoint is published.
	left func()
	// loading is the load of weights that is assumed to be running; nil if there is none.
	loading atomic.Pointer[modelLoad]
	// Pace is how fast the endpoint generates, if it is a model engine.
	Pace Pace

	mu       sync.Mutex
	versions map[string]int64
}

// loadReport is a reported load. ownInFlight is the number of this node's requests
// at the endpoint when the report arrived.
type loadReport struct {
	load        Load
	ownInFlight int64
	receivedAt  time.Time
}

// InFlight returns the number of this node's requests in flight at the endpoint.
func (l *Live) InFlight() int64 { return l.inFlight.Load() }

// Begin counts a request in flight. The caller calls the returned function when the
// request ends; further calls have no effect.
func (l *Live) Begin() func() {
	l.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { l.inFlight.Add(-1) }) }
}

// Report records the load that the endpoint reported.
func (l *Live) Report(load Load, now time.Time) {
	l.load.Store(&loadReport{load: load, ownInFlight: l.inFlight.Load(), receivedAt: now})
}

// Bounds of how long a failing endpoint is avoided.
const (
	minAvoid = 250 * time.Millisecond
	maxAvoid = 2 * time.Second
)

// Fail records a failure. The endpoint is avoided for a while, longer after each
// consecutive failure.
func (l *Live) Fail(now time.Time) {
	n := min(l.failures.Add(1)-1, 4)
	l.avoidUntil.Store(now.Add(min(minAvoid<<n, maxAvoid)).UnixNano())
}

// Succeed records a complete answer.
func (l *Live) Succeed() {
	l.failures.Store(0)
	l.avoidUntil.Store(0)
}

// Avoided reports whether the endpoint is avoided because it failed recently.
func (l *Live) Avoided(now time.Time) bool { return l.avoidUntil.Load() > now.UnixNano() }

// MarkLeaving records that the endpoint said in an answer that it is leaving.
func (l *Live) MarkLeaving() {
	if l.leaving.CompareAndSwap(false, true) && l.left != nil {
		l.left()
	}
}

// MarkFull records that the endpoint refused work and is treated as full until the
// given time.
func (l *Live) MarkFull(until time.Time) { l.fullUntil.Store(until.UnixNano()) }

// IsFull reports whether the endpoint refused work recently.
func (l *Live) IsFull(now time.Time) bool { return l.fullUntil.Load() > now.UnixNano() }

// modelLoad is a load of weights that an endpoint is assumed to carry out.
type modelLoad struct {
	model string
	until time.Time
}

// MarkLoading records the model whose weights the endpoint is assumed to load, and until
// when.
func (l *Live) MarkLoading(model string, until time.Time) {
	l.loading.Store(&modelLoad{model: model, until: until})
}

// LoadingEnded records that the endpoint does not load weights.
func (l *Live) LoadingEnded() { l.loading.Store(nil) }

// IsLoading reports whether the endpoint is assumed to load weights of the model.
func (l *Live) IsLoading(model string, now time.Time) bool {
	load := l.loading.Load()
	return load != nil && load.model == model && now.Before(load.until)
}

// ObserveVersion records a weight version that the endpoint itself reported.
func (l *Live) ObserveVersion(model string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions == nil {
		l.versions = map[string]int64{}
	}
	l.versions[model] = max(l.versions[model], version)
}

func (l *Live) observedVersion(model string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[model]
}

// maxLoadAge is how long a load report is used.
const maxLoadAge = time.Second

// TotalInFlight estimates the number of requests in flight at the endpoint from all
// callers.
func (l *Live) TotalInFlight(now time.Time) int64 {
	ownInFlight := l.inFlight.Load()
	r := l.load.Load()
	if r == nil || now.Sub(r.receivedAt) > maxLoadAge {
		return ownInFlight
	}
	others := max(int64(r.load.Running+r.load.Waiting)-r.ownInFlight, 0)
	return ownInFlight + others
}

// loadPercent returns how long work takes at the endpoint, as a percentage of the
// usual time.
func (l *Live) loadPercent(now time.Time) int64 {
	r := l.load.Load()
	if r == nil || r.load.Percent <= 0 || now.Sub(r.receivedAt) > maxLoadAge {
		return 100
	}
	return int64(r.load.Percent)
}
