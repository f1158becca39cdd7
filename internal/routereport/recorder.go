// Package routereport tells on a phone whether each route's target is met and what
// the operator can do, from figures of all nodes.
package routereport

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Window is the time that the figures cover.
const Window = time.Minute

const (
	slots    = 6
	slotTime = Window / slots
	// routesMost bounds the routes that a node counts.
	routesMost = 200
)

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes.
const (
	// Answered: the endpoint's whole answer was passed on.
	Answered Outcome = iota
	// Refused: nothing ran, the caller may come again.
	Refused
	// Unknown: it may have run, and no whole answer came.
	Unknown
	// Rejected: the request itself was wrong.
	Rejected
	outcomes
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "unknown", "rejected"}[o]
}

// OutcomeOf returns the outcome of an answer with a status; err is what kept it
// from being whole, or the reason of a refusal.
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
		return Unknown // the answer began, and its caller did not get all of it
	}
	return Answered
}

// boundsMS are the upper bounds of the buckets of time, in milliseconds.
var boundsMS = [...]int64{10, 25, 50, 100, 200, 400, 1000, 2500, 10_000, 60_000, 600_000}

// Figure is what happened on one route within the window.
type Figure struct {
	Route string
	// Counts are the ends by outcome.
	Counts [outcomes]int64
	// InTime are the answers within the route's target, of submissions those that
	// ended before their deadline.
	InTime int64
	// Times are the answers by time, one bucket more than the bounds.
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

// Recorder counts what one node sees. The zero value works; it is safe for
// concurrent use.
type Recorder struct {
	// Now is the clock; time.Now if nil.
	Now func() time.Time

	mu    sync.Mutex
	slots [slots]slot
}

// slot are the figures of one stretch of time.
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

// Ended counts the end of a request, or of a submission. A target of zero is
// none: each answer is in time.
func (r *Recorder) Ended(route string, outcome Outcome, took, target time.Duration) {
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
	if target <= 0 || took <= target {
		f.InTime++
	}
	bucket, _ := slices.BinarySearch(boundsMS[:], took.Milliseconds())
	f.Times[bucket]++
}

// figure returns the route's figure in the slot of now; nil when there are too
// many routes. r.mu is held.
func (r *Recorder) figure(route string) *Figure {
	number := r.number()
	s := &r.slots[number%slots]
	if s.number != number || s.figures == nil {
		*s = slot{number: number, figures: map[string]*Figure{}}
	}
	f := s.figures[route]
	if f == nil && len(s.figures) < routesMost {
		f = &Figure{Route: route}
		s.figures[route] = f
	}
	return f
}

// Figures returns the figures of the window, in order of the routes' names.
func (r *Recorder) Figures() []*Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.number() - slots
	var all []*Figure
	for i := range r.slots {
		if r.slots[i].number <= oldest {
			continue
		}
		for _, f := range r.slots[i].figures {
			all = append(all, f)
		}
	}
	return Merge(all)
}

// Merge adds up figures by route, in order of the routes' names.
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
