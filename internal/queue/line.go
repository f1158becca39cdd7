package queue

import (
	"container/heap"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
)

// Limits of the memory of a line's moving share.
const (
	// minKeptMemory is how many requests it spans at least.
	minKeptMemory = 64
	// keptRefusals is how many refusals in that span the stated share allows.
	keptRefusals  = 4
	maxKeptMemory = 1 << 16
	// shareMargin evens out rounding.
	shareMargin = 1e-9
)

// line holds the waiting work of one class for one model.
type line struct {
	class class.Class
	rank  int // in the order of precedence; 0 is kept longest
	items items
	// expected is the sum of the items' expected times.
	expected time.Duration
	// latest is the latest startBy that entered since the line was empty.
	latest time.Time
	// kept is the moving share of its work that was not refused.
	kept float64
	// use is how many of the running places it takes.
	use use
}

// newLine returns a line that just gets its stated share, so that an order of
// precedence holds from the first refusal on.
func newLine(c class.Class, rank int) *line {
	l := &line{class: c, rank: rank, use: use{memory: waitMemory}}
	l.kept = l.class.Completeness / (1 - 1/l.memory())
	return l
}

// memory is how many requests the moving share spans: enough for the stated
// share to allow a few refusals.
func (l *line) memory() float64 {
	allowed := 1 - l.class.Completeness
	if allowed <= 0 {
		return maxKeptMemory
	}
	return min(max(keptRefusals/allowed, minKeptMemory), maxKeptMemory)
}

func (l *line) push(i *item) {
	if len(l.items) == 0 || i.startBy.After(l.latest) {
		l.latest = i.startBy
	}
	heap.Push(&l.items, i)
	l.expected += i.expected
}

func (l *line) remove(i *item) {
	if i.index < 0 {
		return
	}
	heap.Remove(&l.items, i.index)
	l.expected -= i.expected
}

func (l *line) head() *item {
	if len(l.items) == 0 {
		return nil
	}
	return l.items[0]
}

// tail returns an item of the later ones: a leaf of the heap.
func (l *line) tail() *item {
	if len(l.items) == 0 {
		return nil
	}
	return l.items[len(l.items)-1]
}

// ahead estimates the expected time of the items that start before an instant,
// as if they were spread evenly between the first and the latest.
func (l *line) ahead(startBy time.Time) time.Duration {
	if len(l.items) == 0 || l.items[0].startBy.After(startBy) {
		return 0
	}
	if !startBy.Before(l.latest) {
		return l.expected
	}
	first := l.items[0].startBy
	share := float64(startBy.Sub(first)) / float64(l.latest.Sub(first))
	return time.Duration(share * float64(l.expected))
}

// count records that one of its requests was kept or refused.
func (l *line) count(kept bool) {
	value := 0.0
	if kept {
		value = 1
	}
	l.kept += (value - l.kept) / l.memory()
}

// aboveShare reports whether it would get its stated share also if one more of
// its requests were refused.
func (l *line) aboveShare() bool {
	return l.kept*(1-1/l.memory())+shareMargin >= l.class.Completeness
}

// items is a heap, ordered by startBy, then by arrival.
type items []*item

func (s items) Len() int { return len(s) }
func (s items) Less(a, b int) bool {
	if s[a].startBy.Equal(s[b].startBy) {
		return s[a].number < s[b].number
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
