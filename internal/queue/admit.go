package queue

import "time"

// admit adds an item to the queue of its class or refuses it. It then refuses waiting
// items that can no longer meet their deadlines because of the new item. Refused items have
// not started.
//
// Classes below their target completeness go first, in order of precedence: higher
// completeness, then shorter lateness. All other classes follow together, ordered by
// least slack. A class therefore never misses its target in favor of a class of lower
// precedence, and while all classes meet their targets only slack decides.
func (m *modelQueue) admit(i *item, now time.Time) error {
	overrun := m.wait(i, now) - i.startBy.Sub(now)
	if !i.work.AllowLate && overrun > 0 {
		i.classQueue.recordDecision(false)
		return refused("the deadline could not be met", overrun)
	}
	i.classQueue.push(i)
	m.refuseDelayed(i.classQueue, now)
	return nil
}

// minSlotFraction is the smallest fraction of the slots that a wait estimate assumes to be
// available.
const minSlotFraction = 0.05

// wait estimates the time until an item would start. Items wait only when no slot is free,
// so an item that finds a free slot starts immediately. Class queues that are served before
// the item's are assumed to keep the slots that they occupy now.
func (m *modelQueue) wait(i *item, now time.Time) time.Duration {
	if m.running < m.limit {
		return 0
	}
	// Running items are assumed to be half done on average.
	ahead := m.runningExpected / 2
	slots := float64(m.limit)
	for _, q := range m.classQueues {
		switch compareClassQueues(q, i.classQueue) {
		case -1:
			ahead += q.expected
			slots -= q.occupancy.slots(now)
		case 0:
			ahead += q.ahead(i.startBy)
		}
	}
	slots = max(slots, minSlotFraction*float64(m.limit))
	return time.Duration(float64(ahead) / slots)
}

// compareClassQueues returns -1 if all items of a go before those of b, 1 if they go
// after them, and 0 if slack decides.
func compareClassQueues(a, b *classQueue) int {
	exceedsA, exceedsB := a.exceedsTarget(), b.exceedsTarget()
	switch {
	case a == b || exceedsA && exceedsB:
		return 0
	case exceedsB || !exceedsA && a.rank < b.rank:
		return -1
	}
	return 1
}

// refuseDelayed refuses later items of the class queues that are delayed by the new item in
// added, as long as those items cannot meet their deadlines.
func (m *modelQueue) refuseDelayed(added *classQueue, now time.Time) {
	for _, q := range m.classQueues {
		if q == added || compareClassQueues(q, added) < 0 {
			continue
		}
		for i := q.tail(); i != nil && !i.work.AllowLate; i = q.tail() {
			overrun := m.wait(i, now) - i.startBy.Sub(now)
			if overrun <= 0 {
				break
			}
			q.remove(i)
			q.recordDecision(false)
			i.refuse("displaced by other work", overrun)
		}
	}
}
