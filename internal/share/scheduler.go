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
	// decayTime is the time constant of the exponential decay of what was wanted and got.
	decayTime = 20 * time.Second
	// idleTimeout is how long an account without waiting work is remembered.
	idleTimeout = time.Minute
	// maxDecayWeight is the decay weight of new work at which all tallies are scaled down.
	maxDecayWeight = 1e9
)

// Scheduler orders waiting work of client accounts. Among accounts of the same priority it
// uses start-time fair queueing: the account whose next work has the lowest start tag goes
// first, so that accounts with waiting work get equal shares and an account that was idle
// cannot save up. It is not safe for concurrent use.
type Scheduler[T any] struct {
	levels      []*level[T] // by ascending priority
	flows       map[flowKey]*flow[T]
	leastServed flowHeap[T] // flows with waiting work; the lowest served ratio first
	all         tally
	waiting     int
	// scaledAt and sweptAt are when the tallies were last scaled and idle accounts forgotten.
	scaledAt, sweptAt time.Time
}

// level is the work of one priority.
type level[T any] struct {
	priority int
	tally    tally
	fair     flowHeap[T] // flows with waiting work; the lowest start tag first
	// virtualTime is the start tag of the work that was served last.
	virtualTime float64
	waiting     int
	pace        pace
}

type flowKey struct {
	account  string
	priority int
}

// Indices of flow.position.
const (
	inFair        = iota // in level.fair
	inLeastServed        // in Scheduler.leastServed
	heaps                // number of heaps that contain a flow
)

// flow is the work of one account at one priority.
type flow[T any] struct {
	key           flowKey
	level         *level[T]
	tally         tally
	first, last   *Entry[T]
	waiting       int
	pace          pace
	start, finish float64 // tags of start-time fair queueing
	servedRatio   float64
	position      [heaps]int // in each heap
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
		flows:       map[flowKey]*flow[T]{},
		leastServed: flowHeap[T]{index: inLeastServed, less: func(a, b *flow[T]) bool { return a.servedRatio < b.servedRatio }},
	}
}

// Waiting returns the number of waiting pieces of work.
func (s *Scheduler[T]) Waiting() int { return s.waiting }

// Pass counts work that gets room at once. It may be called only while nothing waits. What
// an account gets then is not held against it later.
func (s *Scheduler[T]) Pass(account string, priority int, cost float64, now time.Time) {
	f := s.flow(account, priority, now)
	s.recordDemand(f, cost, now)
	s.recordService(f, f.level.virtualTime, cost, now)
	f.level.virtualTime = max(f.level.virtualTime, f.finish)
}

// Refuse counts work that is wanted and gets no room.
func (s *Scheduler[T]) Refuse(account string, priority int, cost float64, now time.Time) {
	s.recordDemand(s.flow(account, priority, now), cost, now)
}

// Push adds waiting work.
func (s *Scheduler[T]) Push(account string, priority int, cost float64, value T, now time.Time) *Entry[T] {
	f := s.flow(account, priority, now)
	s.recordDemand(f, cost, now)
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
		f.start = max(f.level.virtualTime, f.finish)
		f.servedRatio = f.tally.servedRatio(s.decayWeight(now) * cost)
		heap.Push(&f.level.fair, f)
		heap.Push(&s.leastServed, f)
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
		heap.Remove(&f.level.fair, f.position[inFair])
		heap.Remove(&s.leastServed, f.position[inLeastServed])
	}
}

// Next removes and returns the work that gets the next room, or nil if none waits.
func (s *Scheduler[T]) Next(now time.Time) *Entry[T] {
	f, belowFloor := s.pick(now)
	if f == nil {
		return nil
	}
	if !belowFloor { // flows below the floor must not advance the virtual time
		f.level.virtualTime = max(f.level.virtualTime, f.start)
	}
	e := f.first
	f.pace.count(now)
	f.level.pace.count(now)
	s.Remove(e)
	s.recordService(f, f.start, e.cost, now)
	if f.waiting > 0 {
		f.start = f.finish
		f.servedRatio = f.tally.servedRatio(s.decayWeight(now) * f.first.cost)
		heap.Fix(&f.level.fair, f.position[inFair])
		heap.Fix(&s.leastServed, f.position[inLeastServed])
	}
	return e
}

// DropOldest calls drop for the oldest work of each account until drop returns false for it;
// dropped work gets no room.
func (s *Scheduler[T]) DropOldest(drop func(T) bool) {
	for _, f := range slices.Clone(s.leastServed.flows) {
		for f.first != nil && drop(f.first.Value) {
			s.Remove(f.first)
		}
	}
}

// EstimateWait estimates how long new work of an account would wait, and debt how long it takes to
// serve others until the account has got no more than they. Both are zero if nothing waits
// or the pace is not known.
func (s *Scheduler[T]) EstimateWait(account string, priority int, now time.Time) (wait, debt time.Duration) {
	at, found := slices.BinarySearchFunc(s.levels, priority, comparePriority[T])
	if !found || s.levels[at].waiting == 0 {
		return 0, 0
	}
	l, turns := s.levels[at], 1
	if own := s.flows[flowKey{account, priority}]; own != nil {
		debt = l.pace.timeFor(max(own.finish-l.virtualTime, 0)*float64(len(l.fair.flows)), now)
		if own.waiting > 0 {
			turns += own.waiting
			wait = own.pace.timeFor(float64(own.waiting+1), now)
		}
	}
	ahead := min(l.waiting, turns*len(l.fair.flows))
	return max(wait, l.pace.timeFor(float64(ahead+1), now)), debt
}

// pick returns the flow that goes next. belowFloor means that it does so
// because its account is below the floor.
func (s *Scheduler[T]) pick(now time.Time) (next *flow[T], belowFloor bool) {
	if s.waiting == 0 {
		return nil, false
	}
	unit := s.decayWeight(now)
	for _, l := range s.levels {
		if l.waiting > 0 && l.tally.belowFloor(s.all, unit*l.fair.flows[0].first.cost) {
			return l.fair.flows[0], false
		}
	}
	if f := s.leastServed.flows[0]; f.tally.belowFloor(s.all, unit*f.first.cost) {
		return f, true
	}
	for _, l := range s.levels {
		if l.waiting > 0 {
			return l.fair.flows[0], false
		}
	}
	return nil, false
}

// recordDemand counts work that an account wants.
func (s *Scheduler[T]) recordDemand(f *flow[T], cost float64, now time.Time) {
	amount := cost * s.decayWeight(now)
	f.usedAt = now
	f.tally.wanted += amount
	f.level.tally.wanted += amount
	s.all.wanted += amount
	if f.waiting > 0 {
		f.servedRatio = f.tally.servedRatio(s.decayWeight(now) * f.first.cost)
		heap.Fix(&s.leastServed, f.position[inLeastServed])
	}
}

// recordService counts work of a flow that gets room, with the given start tag.
func (s *Scheduler[T]) recordService(f *flow[T], start, cost float64, now time.Time) {
	amount := cost * s.decayWeight(now)
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

// level returns the level of a priority, which it creates if it does not exist.
func (s *Scheduler[T]) level(priority int) *level[T] {
	at, found := slices.BinarySearchFunc(s.levels, priority, comparePriority[T])
	if !found {
		s.levels = slices.Insert(s.levels, at, &level[T]{priority: priority, fair: flowHeap[T]{index: inFair, less: func(a, b *flow[T]) bool { return a.start < b.start }}})
	}
	return s.levels[at]
}

func comparePriority[T any](l *level[T], priority int) int { return cmp.Compare(l.priority, priority) }

// decayWeight returns the weight of work that is counted now. The weight grows exponentially
// with time (forward decay), so that old work counts less without a change of the tallies.
func (s *Scheduler[T]) decayWeight(now time.Time) float64 {
	if s.scaledAt.IsZero() {
		s.scaledAt = now
	}
	weight := math.Exp(float64(now.Sub(s.scaledAt)) / float64(decayTime))
	if weight < maxDecayWeight {
		return weight
	}
	s.all.scale(1 / weight)
	for _, l := range s.levels {
		l.tally.scale(1 / weight)
	}
	for _, f := range s.flows {
		f.tally.scale(1 / weight)
	}
	s.scaledAt = now
	return 1
}

// forget drops the accounts without waiting work that were not used for idleTimeout.
func (s *Scheduler[T]) forget(now time.Time) {
	if now.Sub(s.sweptAt) < idleTimeout {
		return
	}
	s.sweptAt = now
	for key, f := range s.flows {
		if f.waiting == 0 && now.Sub(f.usedAt) >= idleTimeout {
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
