package intake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Parameters of the bound on memory.
const (
	// smallHold is the size up to which a request may also use the reserve, a fraction
	// reserveShare of the memory. Ordinary requests fit in it.
	smallHold    = 64 << 10
	reserveShare = 0.25
	// loneFactor is how far a request may exceed the memory if all others together need no more
	// than the reserve, so that a single request is never refused.
	loneFactor = 2
	// shortWait bounds the wait for memory.
	shortWait = time.Second
)

// ExchangeBytes is what a request needs beyond its body and its answer while an endpoint has it: the
// buffers and stacks of a connection to the endpoint, and the heads.
const ExchangeBytes = 48 << 10

// Hold is the memory that one request occupies. It is safe for concurrent use; a nil Hold counts
// nothing.
type Hold struct {
	intake *Intake
	conn   *Conn

	mu      sync.Mutex
	holders int
	bytes   int64
	// leaving is set to the bytes when the caller is turned away.
	leaving int64
}

func newHold(c *Conn) *Hold { return &Hold{intake: c.intake, conn: c, holders: 1} }

// HoldOf returns the memory of the request that a context belongs to, or nil.
func HoldOf(ctx context.Context) *Hold {
	conn := connOf(ctx)
	if conn == nil {
		return nil
	}
	return conn.hold.Load()
}

// Retain keeps the memory counted until a further Release, for work that outlasts its request.
func (h *Hold) Retain() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holders++
}

// Release gives all memory back when it was called as often as the memory was retained.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.holders--
	if h.holders > 0 {
		h.mu.Unlock()
		return
	}
	bytes, leaving := h.bytes, h.leaving
	h.bytes, h.leaving = 0, 0
	h.mu.Unlock()
	h.intake.leaving.Add(-leaving)
	h.intake.giveBack(bytes)
}

// Take counts n more bytes. If there is no room, callers that are later than this one are turned
// away. It returns ErrShort if there is still no room after shortWait, or when the request ends.
func (h *Hold) Take(ctx context.Context, n int64) error {
	if h == nil || n <= 0 || h.tryTake(n) {
		return nil
	}
	return h.intake.waitForRoom(ctx, h, n)
}

// Return gives n bytes back.
func (h *Hold) Return(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.mu.Lock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.mu.Unlock()
	h.intake.giveBack(n)
}

// tryTake counts n more bytes if there is room.
func (h *Hold) tryTake(n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holders <= 0 {
		return false // the request has ended
	}
	own := h.bytes + n
	total := h.intake.used.Add(n)
	if total > h.intake.bound(own, total-own) {
		h.intake.used.Add(-n)
		return false
	}
	h.bytes = own
	return true
}

// bound returns how much may be used in all by a request that uses own, while others use the rest.
func (in *Intake) bound(own, others int64) int64 {
	reserve := int64(reserveShare * float64(in.limits.Memory))
	switch {
	case own <= smallHold:
		return in.limits.Memory + reserve
	case others <= reserve:
		return loneFactor * in.limits.Memory
	}
	return in.limits.Memory
}

func (in *Intake) giveBack(n int64) {
	if n == 0 {
		return
	}
	in.used.Add(-n)
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.waiting > 0 {
		close(in.freed)
		in.freed = make(chan struct{})
	}
}

func (in *Intake) waitForRoom(ctx context.Context, h *Hold, n int64) error {
	timer := time.NewTimer(shortWait)
	defer timer.Stop()
	in.mu.Lock()
	in.waiting++
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		in.waiting--
		in.mu.Unlock()
	}()
	for {
		in.mu.Lock()
		freed := in.freed
		in.mu.Unlock()
		if h.tryTake(n) {
			return nil
		}
		if h.isLeaving() {
			return ErrShort.New("a request that was later than others made room for them")
		}
		in.turnAway(h, n)
		select {
		case <-freed:
		case <-ctx.Done():
			return ErrShort.Wrap(ctx.Err(), "the request ended while it waited for memory")
		case <-timer.C:
			in.turnedAway(BoundMemory)
			return ErrShort.New("no memory for %d bytes", n)
		}
	}
}

// lateHold is a request whose caller is late.
type lateHold struct {
	*Hold
	late time.Duration
}

// turnAway closes the connections of the latest callers, as far as they are later than h's, until
// they will give back n bytes.
func (in *Intake) turnAway(h *Hold, n int64) {
	if in.leaving.Load() >= n {
		return
	}
	now := in.now().UnixNano()
	own, _ := h.conn.lateness(now)
	var others []lateHold
	in.mu.Lock()
	for conn := range in.conns {
		late, ok := conn.lateness(now)
		if !ok || late <= max(own, minLateness) {
			continue
		}
		if hold := conn.hold.Load(); hold != nil && hold != h {
			others = append(others, lateHold{hold, late})
		}
		if l := conn.backlog.Load(); l != nil && l.hold != h {
			others = append(others, lateHold{l.hold, late})
		}
	}
	in.mu.Unlock()
	slices.SortFunc(others, func(a, b lateHold) int { return cmp.Compare(b.late, a.late) })
	for _, other := range others {
		if in.leaving.Load() >= n {
			return
		}
		if other.leave() {
			in.turnedAway(BoundMemory)
			other.conn.abort()
		}
	}
}

// isLeaving reports whether the caller was turned away.
func (h *Hold) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving > 0
}

// leave counts the memory as about to be given back. It returns false if there is none, or if it is
// counted already.
func (h *Hold) leave() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes == 0 || h.leaving > 0 {
		return false
	}
	h.leaving = h.bytes
	h.intake.leaving.Add(h.leaving)
	return true
}
