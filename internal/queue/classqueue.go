package queue

import (
	"container/heap"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Limits on the window over which a class queue averages its fraction of accepted requests.
const (
	// minAcceptWindow is the smallest window, in requests.
	minAcceptWindow = 64
	// refusalsPerWindow is the number of refusals per window that the target
	// completeness allows.
	refusalsPerWindow = 4
	maxAcceptWindow   = 1 << 16
	// roundingMargin compensates for rounding errors.
	roundingMargin = 1e-9
)

// classQueue holds the waiting items of one class for one model.
type classQueue struct {
	class class.Class
	rank  int // position in the order of precedence; 0 is refused last
	items items
	// expected is the sum of the items' expected durations.
	expected time.Duration
	// latest is the latest startBy of the items added since the queue was last empty.
	latest time.Time
	// accepted is the moving average of the fraction of requests that were not refused.
	accepted float64
	// occupancy is the number of slots that the class occupies.
	occupancy occupancy
}

// newClassQueue returns a queue that just meets its target completeness, so that the order
// of precedence applies from the first refusal.
func newClassQueue(c class.Class, rank int) *classQueue {
	q := &classQueue{class: c, rank: rank, occupancy: occupancy{window: waitWindow}}
	q.accepted = q.class.Completeness / (1 - 1/q.window())
	return q
}

// window returns the number of requests that the moving average spans. It is large enough
// for the target completeness to allow a few refusals.
func (q *classQueue) window() float64 {
	allowed := 1 - q.class.Completeness
	if allowed <= 0 {
		return maxAcceptWindow
	}
	return min(max(refusalsPerWindow/allowed, minAcceptWindow), maxAcceptWindow)
}

func (q *classQueue) push(i *item) {
	if len(q.items) == 0 || i.startBy.After(q.latest) {
		q.latest = i.startBy
	}
	heap.Push(&q.items, i)
	q.expected += i.expected
}

func (q *classQueue) remove(i *item) {
	if i.index < 0 {
		return
	}
	heap.Remove(&q.items, i.index)
	q.expected -= i.expected
}

func (q *classQueue) head() *item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// tail returns one of the later items: a leaf of the heap.
func (q *classQueue) tail() *item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[len(q.items)-1]
}

// ahead estimates the total expected duration of the items that start before startBy. It
// assumes that their start times are spread evenly between the first and the latest.
func (q *classQueue) ahead(startBy time.Time) time.Duration {
	if len(q.items) == 0 || q.items[0].startBy.After(startBy) {
		return 0
	}
	if !startBy.Before(q.latest) {
		return q.expected
	}
	first := q.items[0].startBy
	fraction := float64(startBy.Sub(first)) / float64(q.latest.Sub(first))
	return time.Duration(fraction * float64(q.expected))
}

// recordDecision records that a request was accepted or refused.
func (q *classQueue) recordDecision(accepted bool) {
	value := 0.0
	if accepted {
		value = 1
	}
	q.accepted += (value - q.accepted) / q.window()
}

// exceedsTarget reports whether the class would meet its target completeness even if one
// more of its requests were refused.
func (q *classQueue) exceedsTarget() bool {
	return q.accepted*(1-1/q.window())+roundingMargin >= q.class.Completeness
}

// items is a heap ordered by startBy, then by arrival.
type items []*item

func (s items) Len() int { return len(s) }
func (s items) Less(a, b int) bool {
	if s[a].startBy.Equal(s[b].startBy) {
		return s[a].sequence < s[b].sequence
	}
	return s[a].startBy.Before(s[b].startBy)
}
func (s items) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].index, s[b].index = a, b
}

// Push implements heap.Interface.
func (s *items) Push(x any) {
	i := x.(*item)
	i.index = len(*s)
	*s = append(*s, i)
}

// Pop implements heap.Interface.
func (s *items) Pop() any {
	last := len(*s) - 1
	i := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	i.index = -1
	return i
}
