package queue

import "time"

// admit lets an item into its line or refuses it. Then it refuses waiting items
// that can no longer be in time because of it. All that it refuses has not
// started.
//
// Classes below their stated completeness go first, in order of precedence:
// higher completeness, then shorter lateness. All others follow together, the
// least slack first. So nobody's stated share is given up for a class of lower
// precedence, and while all get their shares only slack counts.
func (g *group) admit(i *item, now time.Time) error {
	excess := g.wait(i, now) - i.startBy.Sub(now)
	if !i.work.AllowLate && excess > 0 {
		i.line.count(false)
		return refused("it could not be in time", excess)
	}
	i.line.push(i)
	g.trim(i.line, now)
	return nil
}

// leastPlaces is the least share of the places that an estimate counts on.
const leastPlaces = 0.05

// wait estimates the time until an item would start. What waits already found no
// room, so an item that finds room starts at once. Lines that go before it keep
// the places that they take now.
func (g *group) wait(i *item, now time.Time) time.Duration {
	if g.running < g.limit {
		return 0
	}
	// What runs is half done on average.
	ahead := g.runningExpected / 2
	places := float64(g.limit)
	for _, l := range g.lines {
		switch compareLines(l, i.line) {
		case -1:
			ahead += l.expected
			places -= l.use.places(now)
		case 0:
			ahead += l.ahead(i.startBy)
		}
	}
	places = max(places, leastPlaces*float64(g.limit))
	return time.Duration(float64(ahead) / places)
}

// compareLines returns -1 when all of a's work goes before b's, 1 when it goes
// after it, and 0 when slack decides.
func compareLines(a, b *line) int {
	aboveA, aboveB := a.aboveShare(), b.aboveShare()
	switch {
	case a == b || aboveA && aboveB:
		return 0
	case aboveB || !aboveA && a.rank < b.rank:
		return -1
	}
	return 1
}

// trim refuses the later items of lines that the line's new item delays, while
// they cannot be in time.
func (g *group) trim(by *line, now time.Time) {
	for _, l := range g.lines {
		if l == by || compareLines(l, by) < 0 {
			continue
		}
		for i := l.tail(); i != nil && !i.work.AllowLate; i = l.tail() {
			excess := g.wait(i, now) - i.startBy.Sub(now)
			if excess <= 0 {
				break
			}
			l.remove(i)
			l.count(false)
			i.refuse("it gave way to other work", excess)
		}
	}
}
