package share

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// Limits of what a scheduler remembers.
const (
	// memory is the time after which what was wanted and got counts 1/e.
	memory = 20 * time.Second
	// idleLife is how long an account without waiting work is remembered.
	idleLife = time.Minute
	// maxGrowth bounds the weight of new work against old work, before both are scaled down.
	maxGrowth = 1e9
)

// Scheduler orders waiting work of client accounts. Among accounts of the same priority it
// uses start-time fair queueing: the account whose next work has the lowest start tag goes
// first, so that accounts with waiting work get equal shares and an account that was idle
// cannot save up. It is not safe for concurrent use.
type Scheduler[T any] struct {
	levels  []*level[T] // by ascending priority
	flows   map[flowKey]*flow[T]
	needy   flowHeap[T] // flows with waiting work; the one furthest behind first
	all     tally
	waiting int
	// scaledAt and sweptAt are when the tallies were last scaled and idle accounts forgotten.
	scaledAt, sweptAt time.Time
}

// level is the work of one priority.
type level[T any] struct {
	priority int
	tally    tally
	fair     flowHeap[T] // flows with waiting work; the lowest start tag first
	// virtual is the start tag of the work that was served last.
	virtual float64
	waiting int
	pace    pace
}

type flowKey struct {
	account  string
	priority int
}

// flow is the work of one account at one priority.
type flow[T any] struct {
	key           flowKey
	level         *level[T]
	tally         tally
	first, last   *Entry[T]
	waiting       int
	pace          pace
	start, finish float64 // tags
	need          float64
	position      [2]int // in the heaps
	usedAt        time.Time
}

// Entry is waiting work.
type Entry[T any] struct {
	Value      T
	cost       float64
	flow       *flow[T]
	prev, next *Entry[T]
}

// NewScheduler returns an empty scheduler.
func NewScheduler[T any]() *Scheduler[T] {
	return &Scheduler[T]{
		flows: map[flowKey]*flow[T]{},
		needy: flowHeap[T]{index: 1, less: func(a, b *flow[T]) bool { return a.need < b.need }},
	}
}

// Waiting returns the number of waiting pieces of work.
func (s *Scheduler[T]) Waiting() int { return s.waiting }

// Accounts returns the number of remembered accounts, counted once for each priority.
func (s *Scheduler[T]) Accounts() int { return len(s.flows) }

// Pass counts work that gets room at once. It may be called only while nothing waits. What
// an account gets then is not held against it later.
func (s *Scheduler[T]) Pass(account string, priority int, cost float64, now time.Time) {
	f := s.flow(account, priority, now)
	s.want(f, cost, now)
	s.serve(f, f.level.virtual, cost, now)
	f.level.virtual = max(f.level.virtual, f.finish)
}

// Refuse counts work that is wanted and gets no room.
func (s *Scheduler[T]) Refuse(account string, priority int, cost float64, now time.Time) {
	s.want(s.flow(account, priority, now), cost, now)
}

// Push adds waiting work.
func (s *Scheduler[T]) Push(account string, priority int, cost float64, value T, now time.Time) *Entry[T] {
	f := s.flow(account, priority, now)
	s.want(f, cost, now)
	e := &Entry[T]{Value: value, cost: cost, flow: f, prev: f.last}
	if f.last != nil {
		f.last.next = e
	} else {
		f.first = e
	}
	f.last = e
	f.waiting++
	f.level.waiting++
	s.waiting++
	if f.level.waiting == 1 {
		f.level.pace.begin(now)
	}
	if f.waiting == 1 {
		f.pace.begin(now)
		f.start = max(f.level.virtual, f.finish)
		f.need = f.tally.need(s.growth(now) * cost)
		heap.Push(&f.level.fair, f)
		heap.Push(&s.needy, f)
	}
	return e
}

// Remove removes waiting work that gets no room. It does nothing if the work does not wait.
func (s *Scheduler[T]) Remove(e *Entry[T]) {
	f := e.flow
	if f == nil {
		return
	}
	e.flow = nil
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		f.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		f.last = e.prev
	}
	f.waiting--
	f.level.waiting--
	s.waiting--
	if f.waiting == 0 {
		heap.Remove(&f.level.fair, f.position[0])
		heap.Remove(&s.needy, f.position[1])
	}
}

// Next removes and returns the work that gets the next room, or nil if none waits.
func (s *Scheduler[T]) Next(now time.Time) *Entry[T] {
	f, owed := s.pick(now)
	if f == nil {
		return nil
	}
	if !owed { // what lies below the floor must not advance the tags of all others
		f.level.virtual = max(f.level.virtual, f.start)
	}
	e := f.first
	f.pace.count(now)
	f.level.pace.count(now)
	s.Remove(e)
	s.serve(f, f.start, e.cost, now)
	if f.waiting > 0 {
		f.start = f.finish
		f.need = f.tally.need(s.growth(now) * f.first.cost)
		heap.Fix(&f.level.fair, f.position[0])
		heap.Fix(&s.needy, f.position[1])
	}
	return e
}

// Oldest calls drop for the oldest work of each account until drop returns false for it;
// dropped work gets no room.
func (s *Scheduler[T]) Oldest(drop func(T) bool) {
	for _, f := range slices.Clone(s.needy.flows) {
		for f.first != nil && drop(f.first.Value) {
			s.Remove(f.first)
		}
	}
}

// Wait estimates how long new work of an account would wait, and debt how long it takes to
// serve others until the account has got no more than they. Both are zero if nothing waits
// or the pace is not known.
func (s *Scheduler[T]) Wait(account string, priority int, now time.Time) (wait, debt time.Duration) {
	at, found := slices.BinarySearchFunc(s.levels, priority, comparePriority[T])
	if !found || s.levels[at].waiting == 0 {
		return 0, 0
	}
	l, turns := s.levels[at], 1
	if own := s.flows[flowKey{account, priority}]; own != nil {
		debt = l.pace.timeFor(max(own.finish-l.virtual, 0)*float64(len(l.fair.flows)), now)
		if own.waiting > 0 {
			turns += own.waiting
			wait = own.pace.timeFor(float64(own.waiting+1), now)
		}
	}
	ahead := min(l.waiting, turns*len(l.fair.flows))
	return max(wait, l.pace.timeFor(float64(ahead+1), now)), debt
}

// pick returns the flow that goes next. owed means that it does so because its account is
// below the floor.
func (s *Scheduler[T]) pick(now time.Time) (next *flow[T], owed bool) {
	if s.waiting == 0 {
		return nil, false
	}
	unit := s.growth(now)
	for _, l := range s.levels {
		if l.waiting > 0 && l.tally.behind(s.all, unit*l.fair.flows[0].first.cost) {
			return l.fair.flows[0], false
		}
	}
	if f := s.needy.flows[0]; f.tally.behind(s.all, unit*f.first.cost) {
		return f, true
	}
	for _, l := range s.levels {
		if l.waiting > 0 {
			return l.fair.flows[0], false
		}
	}
	return nil, false
}

func (s *Scheduler[T]) want(f *flow[T], cost float64, now time.Time) {
	amount := cost * s.growth(now)
	f.usedAt = now
	f.tally.wanted += amount
	f.level.tally.wanted += amount
	s.all.wanted += amount
	if f.waiting > 0 {
		f.need = f.tally.need(s.growth(now) * f.first.cost)
		heap.Fix(&s.needy, f.position[1])
	}
}

// serve counts work of a flow that gets room, with the given start tag.
func (s *Scheduler[T]) serve(f *flow[T], start, cost float64, now time.Time) {
	amount := cost * s.growth(now)
	f.tally.got += amount
	f.level.tally.got += amount
	s.all.got += amount
	f.finish = start + cost
}

// flow returns the flow of an account, which it creates if it does not exist.
func (s *Scheduler[T]) flow(account string, priority int, now time.Time) *flow[T] {
	s.forget(now)
	key := flowKey{account, priority}
	if f := s.flows[key]; f != nil {
		return f
	}
	f := &flow[T]{key: key, level: s.level(priority), usedAt: now}
	s.flows[key] = f
	return f
}

func (s *Scheduler[T]) level(priority int) *level[T] {
	at, found := slices.BinarySearchFunc(s.levels, priority, comparePriority[T])
	if !found {
		s.levels = slices.Insert(s.levels, at, &level[T]{priority: priority, fair: flowHeap[T]{less: func(a, b *flow[T]) bool { return a.start < b.start }}})
	}
	return s.levels[at]
}

func comparePriority[T any](l *level[T], priority int) int { return cmp.Compare(l.priority, priority) }

// growth is the weight of work that is counted now. Old work counts less because the weight
// grows, so that the tallies need not be changed as time passes.
func (s *Scheduler[T]) growth(now time.Time) float64 {
	if s.scaledAt.IsZero() {
		s.scaledAt = now
	}
	growth := math.Exp(float64(now.Sub(s.scaledAt)) / float64(memory))
	if growth < maxGrowth {
		return growth
	}
	s.all.scale(1 / growth)
	for _, l := range s.levels {
		l.tally.scale(1 / growth)
	}
	for _, f := range s.flows {
		f.tally.scale(1 / growth)
	}
	s.scaledAt = now
	return 1
}

// forget drops the accounts without waiting work that were not used for idleLife.
func (s *Scheduler[T]) forget(now time.Time) {
	if now.Sub(s.sweptAt) < idleLife {
		return
	}
	s.sweptAt = now
	for key, f := range s.flows {
		if f.waiting == 0 && now.Sub(f.usedAt) >= idleLife {
			delete(s.flows, key)
		}
	}
}

// flowHeap is a heap of flows, which keep their positions in it.
type flowHeap[T any] struct {
	flows []*flow[T]
	index int // in flow.position
	less  func(a, b *flow[T]) bool
}

func (h *flowHeap[T]) Len() int           { return len(h.flows) }
func (h *flowHeap[T]) Less(a, b int) bool { return h.less(h.flows[a], h.flows[b]) }
func (h *flowHeap[T]) Swap(a, b int) {
	h.flows[a], h.flows[b] = h.flows[b], h.flows[a]
	h.flows[a].position[h.index], h.flows[b].position[h.index] = a, b
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.position[h.index] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}
