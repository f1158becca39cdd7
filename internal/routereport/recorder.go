// Package routereport shows on one phone screen whether each route's target is met and
// what the operator can do, from the figures of all nodes.
package routereport

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Window is the time that the reported figures cover.
const Window = time.Minute

const (
	slots    = 6
	slotTime = Window / slots
	// maxRoutes bounds the number of routes that a node counts.
	maxRoutes = 200
)

// Outcome describes how a request ended for its caller.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that the endpoint's complete answer was passed on.
	Answered Outcome = iota
	// Refused means that nothing ran and the caller may retry.
	Refused
	// Unknown means that the request may have run and no complete answer was passed on.
	Unknown
	// Rejected means that the request itself was invalid.
	Rejected
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "unknown", "rejected"}[o]
}

// OutcomeOf returns the outcome of an answer with the given status. err is the error
// that truncated the answer, or the reason of a refusal.
func OutcomeOf(status int, err error) Outcome {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return Unknown
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return Rejected
	}
	if err != nil {
		return Unknown // the caller received only a part of the answer
	}
	return Answered
}

// boundsMS holds the upper bounds of the latency buckets, in milliseconds.
var boundsMS = [...]int64{10, 25, 50, 100, 200, 400, 1000, 2500, 10_000, 60_000, 600_000}

// Figure holds the counts of one route within the window.
type Figure struct {
	Route string
	// Counts holds the number of requests by outcome.
	Counts [OutcomeCount]int64
	// InTime counts answers within the route's target; for submissions, those that ended
	// before their deadline.
	InTime int64
	// Times holds the number of answers by latency; the last bucket is above all bounds.
	Times [len(boundsMS) + 1]int64
}

func (f *Figure) add(other *Figure) {
	for i := range f.Counts {
		f.Counts[i] += other.Counts[i]
	}
	f.InTime += other.InTime
	for i := range f.Times {
		f.Times[i] += other.Times[i]
	}
}

// Recorder counts how requests end on one node. The zero value is ready to use. It is
// safe for concurrent use.
type Recorder struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu    sync.Mutex
	slots [slots]slot
}

// slot holds the figures of one interval of slotTime.
type slot struct {
	number  int64
	figures map[string]*Figure
}

func (r *Recorder) number() int64 {
	now := r.Now
	if now == nil {
		now = time.Now
	}
	return now().UnixNano() / int64(slotTime)
}

// Ended counts the end of a request or submission. A target of zero means no target:
// every answer is in time.
func (r *Recorder) Ended(route string, outcome Outcome, elapsed, target time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.figure(route)
	if f == nil {
		return
	}
	f.Counts[outcome]++
	if outcome != Answered {
		return
	}
	if target <= 0 || elapsed <= target {
		f.InTime++
	}
	bucket, _ := slices.BinarySearch(boundsMS[:], elapsed.Milliseconds())
	f.Times[bucket]++
}

// figure returns the route's figure in the current slot, or nil when there are too
// many routes. The caller holds r.mu.
func (r *Recorder) figure(route string) *Figure {
	number := r.number()
	s := &r.slots[number%slots]
	if s.number != number || s.figures == nil {
		*s = slot{number: number, figures: map[string]*Figure{}}
	}
	f := s.figures[route]
	if f == nil && len(s.figures) < maxRoutes {
		f = &Figure{Route: route}
		s.figures[route] = f
	}
	return f
}

// Figures returns the figures of the window, sorted by route name.
func (r *Recorder) Figures() []*Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.number() - slots
	var perSlot []*Figure
	for i := range r.slots {
		if r.slots[i].number <= oldest {
			continue
		}
		for _, f := range r.slots[i].figures {
			perSlot = append(perSlot, f)
		}
	}
	return Merge(perSlot)
}

// Merge adds up figures by route and sorts the sums by route name.
func Merge(figures []*Figure) []*Figure {
	byRoute := map[string]*Figure{}
	var merged []*Figure
	for _, f := range figures {
		sum := byRoute[f.Route]
		if sum == nil {
			sum = &Figure{Route: f.Route}
			byRoute[f.Route] = sum
			merged = append(merged, sum)
		}
		sum.add(f)
	}
	slices.SortFunc(merged, func(a, b *Figure) int { return strings.Compare(a.Route, b.Route) })
	return merged
}
