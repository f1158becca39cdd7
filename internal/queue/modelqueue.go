package queue

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// modelQueue is the queue of one model or application and one pool. It consists of one
// class queue per class.
type modelQueue struct {
	// limit is the largest number of items that may run at the same time.
	limit int
	// classQueues are in order of precedence; the last one is for unknown classes.
	classQueues []*classQueue
	pace        pace
	// demand is the number of slots that the items occupy, averaged over demandWindow.
	demand occupancy
	// items is the number of items created, from which their sequence numbers are assigned.
	items   uint64
	running int
	// runningExpected is the sum of the expected durations of the running items.
	runningExpected time.Duration
}

// setClasses applies a new order of precedence to the class queues. Items waiting in a
// class that was removed move to the last class queue.
func (m *modelQueue) setClasses(classes []class.Class) {
	previous := m.classQueues
	m.classQueues = make([]*classQueue, 0, len(classes)+1)
	for rank, c := range classes {
		m.classQueues = append(m.classQueues, reuse(previous, c, rank))
	}
	m.classQueues = append(m.classQueues, reuse(previous, class.Class{}, len(classes)))
	last := m.classQueues[len(classes)]
	for _, q := range previous {
		if m.find(q.class.Name) != last || q == last {
			continue
		}
		for len(q.items) > 0 {
			i := q.items[0]
			q.remove(i)
			i.classQueue = last
			last.push(i)
		}
	}
}

func reuse(classQueues []*classQueue, c class.Class, rank int) *classQueue {
	for _, q := range classQueues {
		if q.class.Name == c.Name {
			q.class, q.rank = c, rank
			return q
		}
	}
	return newClassQueue(c, rank)
}

// find returns the queue of the named class, or the last one if the class is unknown.
func (m *modelQueue) find(name string) *classQueue {
	for _, q := range m.classQueues {
		if q.class.Name == name {
			return q
		}
	}
	return m.classQueues[len(m.classQueues)-1]
}

func (m *modelQueue) newItem(work *policy.Work, now time.Time) *item {
	m.items++
	i := &item{sequence: m.items, work: work, modelQueue: m, classQueue: m.find(work.Class), index: -1, decision: make(chan error, 1)}
	i.expected = m.pace.expect(work.ExpectedTokens)
	deadline := work.Deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultDeadline)
	}
	i.startBy = deadline.Add(-m.pace.upperBound(work.ExpectedTokens))
	if m.running < m.limit && i.startBy.Before(now) && now.Before(deadline) {
		// The estimate may be wrong, and only the execution of work can correct it.
		i.startBy = now
	}
	return i
}

// dispatch starts waiting items while slots are free, in the order described at admit.
func (m *modelQueue) dispatch(now time.Time) {
	for m.running < m.limit {
		i := m.next(now)
		if i == nil {
			return
		}
		i.classQueue.remove(i)
		m.running++
		m.runningExpected += i.expected
		i.classQueue.recordDecision(true)
		i.classQueue.occupancy.start(now, i.expected)
		m.demand.start(now, i.expected)
		i.start(now)
	}
}

// next returns the waiting item to start next, or nil if none is waiting. It refuses items
// that can no longer meet their deadlines.
func (m *modelQueue) next(now time.Time) *item {
	var found *item
	for _, q := range m.classQueues {
		m.refuseLate(q, now)
		i := q.head()
		if i != nil && (found == nil || startsBefore(i, found)) {
			found = i
		}
	}
	return found
}

func startsBefore(a, b *item) bool {
	order := compareClassQueues(a.classQueue, b.classQueue)
	return order < 0 || order == 0 && a.startBy.Before(b.startBy)
}

func (m *modelQueue) refuseLate(q *classQueue, now time.Time) {
	for i := q.head(); i != nil && i.late(now); i = q.head() {
		q.remove(i)
		q.recordDecision(false)
		i.refuse("the deadline could no longer be met", m.backlog())
	}
}

func (m *modelQueue) finish(i *item, elapsed time.Duration) {
	m.running--
	m.runningExpected -= i.expected
	if elapsed > 0 {
		m.pace.observe(i.work.ExpectedTokens, max(elapsed-i.work.Waited, 0))
	}
}

func (m *modelQueue) waiting() int {
	sum := 0
	for _, q := range m.classQueues {
		sum += len(q.items)
	}
	return sum
}

// backlog estimates the time until all waiting items would have started.
func (m *modelQueue) backlog() time.Duration {
	var sum time.Duration
	for _, q := range m.classQueues {
		sum += q.expected
	}
	return sum / time.Duration(m.limit)
}
