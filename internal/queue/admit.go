package queue

import "time"

// admit lets an item into its line, if needed in place of items that give way
// to it, or refuses it. Everything it refuses has not started.
//
// While a class is above its stated completeness it gives way; among the
// others, lower completeness gives way first, then longer lateness.
func (g *group) admit(i *item, now time.Time) error {
	excess := g.wait(i) - i.startBy.Sub(now)
	if i.work.Patient || excess <= 0 {
		i.line.push(i)
		return nil
	}
	needed := excess * time.Duration(g.room.limit)
	victims := g.yielding(i)
	if sumAhead(victims, i.startBy) < needed {
		i.line.count(false)
		return refused("it could not be in time", excess)
	}
	g.evict(victims, needed, now)
	i.line.push(i)
	return nil
}

// wait estimates the time until an item that enters now would start. What
// waits already could not start, so an item that may start does so at once.
func (g *group) wait(i *item) time.Duration {
	if g.mayStart(i) {
		return 0
	}
	// What runs is half done on average.
	ahead := sumAhead(g.lines, i.startBy) + g.runningExpected/2
	return ahead / time.Duration(g.room.limit)
}

// yielding returns the lines that give way to the item, in that order.
func (g *group) yielding(i *item) []*line {
	var above, below []*line
	for rank := len(g.lines) - 1; rank >= 0; rank-- {
		l := g.lines[rank]
		switch {
		case l == i.line:
		case l.aboveShare() && (rank > i.line.rank || !i.line.aboveShare()):
			above = append(above, l)
		case rank > i.line.rank && !i.line.aboveShare():
			below = append(below, l)
		}
	}
	return append(above, below...)
}

// evict refuses waiting items of the lines, in order, until enough of their
// expected time has gone.
func (g *group) evict(lines []*line, needed time.Duration, now time.Time) {
	for _, l := range lines {
		for needed > 0 && l.tail() != nil {
			i := l.tail()
			if i.work.Patient {
				break
			}
			l.remove(i)
			l.count(false)
			needed -= i.expected
			i.refuse("it gave way to other work", i.startBy.Sub(now))
		}
	}
}

func sumAhead(lines []*line, startBy time.Time) time.Duration {
	var sum time.Duration
	for _, l := range lines {
		sum += l.ahead(startBy)
	}
	return sum
}
