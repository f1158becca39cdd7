package queue

import (
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// group is the queue of one model or application and one pool: a line per
// class.
type group struct {
	// limit is how many may run.
	limit int
	// lines are in order of precedence; the last holds classes not known.
	lines []*line
	pace  pace
	// demand is how many places its work takes over a longer time.
	demand  use
	items   uint64
	running int
	// runningExpected is the sum of the expected times of what runs.
	runningExpected time.Duration
}

// setClasses brings the lines to a new order of precedence. Work that waits in
// a class that is gone joins the last line.
func (g *group) setClasses(classes []class.Class) {
	old := g.lines
	g.lines = make([]*line, 0, len(classes)+1)
	for rank, c := range classes {
		g.lines = append(g.lines, reuse(old, c, rank))
	}
	g.lines = append(g.lines, reuse(old, class.Class{}, len(classes)))
	last := g.lines[len(classes)]
	for _, l := range old {
		if g.find(l.class.Name) != last || l == last {
			continue
		}
		for len(l.items) > 0 {
			i := l.items[0]
			l.remove(i)
			i.line = last
			last.push(i)
		}
	}
}

func reuse(lines []*line, c class.Class, rank int) *line {
	for _, l := range lines {
		if l.class.Name == c.Name {
			l.class, l.rank = c, rank
			return l
		}
	}
	return newLine(c, rank)
}

// find returns the class's line, the last one for a class not known.
func (g *group) find(name string) *line {
	for _, l := range g.lines {
		if l.class.Name == name {
			return l
		}
	}
	return g.lines[len(g.lines)-1]
}

func (g *group) newItem(work *policy.Work, now time.Time) *item {
	g.items++
	i := &item{number: g.items, work: work, group: g, line: g.find(work.Class), index: -1, verdict: make(chan error, 1)}
	i.expected = g.pace.expect(work.ExpectedTokens)
	deadline := work.Deadline
	if deadline.IsZero() {
		deadline = now.Add(noDeadline)
	}
	i.startBy = deadline.Add(-g.pace.most(work.ExpectedTokens))
	if g.running < g.limit && i.startBy.Before(now) && now.Before(deadline) {
		// The estimate may be wrong, and only work that runs can correct it.
		i.startBy = now
	}
	return i
}

// dispatch starts waiting work while there is room, in the order of admit.
func (g *group) dispatch(now time.Time) {
	for g.running < g.limit {
		i := g.next(now)
		if i == nil {
			return
		}
		i.line.remove(i)
		g.running++
		g.runningExpected += i.expected
		i.line.count(true)
		i.line.use.start(now, i.expected)
		g.demand.start(now, i.expected)
		i.start(now)
	}
}

// next returns the waiting item that starts next, nil when none waits, and refuses on its way those
// that can no longer be in time.
func (g *group) next(now time.Time) *item {
	var found *item
	for _, l := range g.lines {
		g.refuseLate(l, now)
		i := l.head()
		if i != nil && (found == nil || goesBefore(i, found)) {
			found = i
		}
	}
	return found
}

func goesBefore(a, b *item) bool {
	order := compareLines(a.line, b.line)
	return order < 0 || order == 0 && a.startBy.Before(b.startBy)
}

func (g *group) refuseLate(l *line, now time.Time) {
	for i := l.head(); i != nil && i.late(now); i = l.head() {
		l.remove(i)
		l.count(false)
		i.refuse("it could no longer be in time", g.backlog())
	}
}

func (g *group) end(i *item, took time.Duration) {
	g.running--
	g.runningExpected -= i.expected
	if took > 0 {
		g.pace.observe(i.work.ExpectedTokens, max(took-i.work.Waited, 0))
	}
}

func (g *group) waiting() int {
	sum := 0
	for _, l := range g.lines {
		sum += len(l.items)
	}
	return sum
}

// backlog is the time in which all that waits would have started.
func (g *group) backlog() time.Duration {
	var sum time.Duration
	for _, l := range g.lines {
		sum += l.expected
	}
	return sum / time.Duration(g.limit)
}
