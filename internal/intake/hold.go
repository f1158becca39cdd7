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
	// memoryWait bounds the wait for memory.
	memoryWait = time.Second
)

// ExchangeBytes is what a request needs beyond its body and its answer while an endpoint has it: the
// buffers and stacks of a connection to the endpoint, and the heads.
const ExchangeBytes = 48 << 10

// Hold is the memory that one request occupies. It is safe for concurrent use; a nil Hold counts
// nothing.
type Hold struct {
	intake *Intake
	conn   *Conn // nil if no caller waits

	mu sync.Mutex
	// holders is the number of Release calls that are still due.
	holders int
	bytes   int64
	// evicting is set to the bytes when the caller is disconnected to make room.
	evicting int64
}

// newHold returns the memory of a request on a connection, which is to be released once.
func newHold(c *Conn) *Hold { return &Hold{intake: c.intake, conn: c, holders: 1} }

// holdKey is the key of the memory of work that no caller waits for.
type holdKey struct{}

// WithHold returns a context for work that no caller waits for. Its memory counts towards the
// bounds until release is called.
func (in *Intake) WithHold(ctx context.Context) (held context.Context, release func()) {
	hold := &Hold{intake: in, holders: 1}
	return context.WithValue(ctx, holdKey{}, hold), hold.Release
}

// HoldOf returns the memory of the request or work that a context belongs to, or nil.
func HoldOf(ctx context.Context) *Hold {
	if hold, ok := ctx.Value(holdKey{}).(*Hold); ok {
		return hold
	}
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
	bytes, evicting := h.bytes, h.evicting
	h.bytes, h.evicting = 0, 0
	h.mu.Unlock()
	h.intake.evicting.Add(-evicting)
	h.intake.giveBack(bytes)
}

// Take counts n more bytes. If there is no room, callers that are later than this one are turned
// away. It returns ErrShort if there is still no room after memoryWait, or when the request ends.
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

// giveBack counts n bytes less and wakes the requests that wait for memory.
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

// waitForRoom counts n more bytes for h as soon as there is room, and evicts later callers to get it.
func (in *Intake) waitForRoom(ctx context.Context, h *Hold, n int64) error {
	timer := time.NewTimer(memoryWait)
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
		if h.isEvicting() {
			return ErrShort.New("a request that was later than others made room for them")
		}
		in.evictLatest(h, n)
		select {
		case <-freed:
		case <-ctx.Done():
			return ErrShort.Wrap(ctx.Err(), "the request ended while it waited for memory")
		case <-timer.C:
			in.countTurnedAway(BoundMemory)
			return ErrShort.New("no memory for %d bytes", n)
		}
	}
}

// lateHold is a request whose caller is late.
type lateHold struct {
	*Hold
	late time.Duration
}

// evictLatest closes the connections of the latest callers, as far as they are later than h's, until
// they will give back n bytes.
func (in *Intake) evictLatest(h *Hold, n int64) {
	if in.evicting.Load() >= n {
		return
	}
	now := in.now().UnixNano()
	var own time.Duration
	if h.conn != nil {
		own, _ = h.conn.lateness(now)
	}
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
		if in.evicting.Load() >= n {
			return
		}
		if other.startEviction() {
			in.countTurnedAway(BoundMemory)
			other.conn.abort()
		}
	}
}

// isEvicting reports whether the caller was disconnected to make room.
func (h *Hold) isEvicting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evicting > 0
}

// startEviction counts the memory as about to be given back. It returns false if there is none, or
// if it is counted already.
func (h *Hold) startEviction() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes == 0 || h.evicting > 0 {
		return false
	}
	h.evicting = h.bytes
	h.intake.evicting.Add(h.evicting)
	return true
}
