package share

import (
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of shares. Requests that fail with one of them did not run.
var (
	Errors = errorx.NewNamespace("share")
	// ErrExceeded means that the account has used its share and others go first.
	ErrExceeded = Errors.NewType("exceeded", errorx.Temporary())
	// ErrNoRoom means that there is no room for the request in the time that it has, though
	// its account has not used more than its share.
	ErrNoRoom = Errors.NewType("no_room", errorx.Temporary())

	propRetryAfter = errorx.RegisterProperty("share_retry_after")
)

// Limits of a gate's queue and of its retry delays.
const (
	// maxWaiting is the largest number of requests that wait at a gate.
	maxWaiting = 4096
	// minRetryAfter and maxRetryAfter bound the delay after which a caller may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// holdFraction is the largest expected wait with which a request is queued, as a fraction
	// of its Hold: estimates are not exact.
	holdFraction = 0.7
	// minRetryFactor is the factor of the retry delay for a request with Spread 0.
	minRetryFactor = 0.5
)

// Work is a request that wants room.
type Work struct {
	Account  string
	Priority int
	// Hold is how long the request may wait for room.
	Hold time.Duration
	// Spread is the retry jitter of the request, between 0 and 1.
	Spread float64
}

// Ticket is a request that waits at a gate.
type Ticket struct {
	work     Work
	until    time.Time
	entry    *Entry[*Ticket]
	decision chan error
}

// Decision receives nil once the request has room, or the error for which it is refused.
func (t *Ticket) Decision() <-chan error { return t.decision }

// Gate admits the requests for one service on one node. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	scheduler *Scheduler[*Ticket]
	// free is the number of requests that still have room.
	free float64
}

// NewGate returns a gate without room.
func NewGate() *Gate { return &Gate{scheduler: NewScheduler[*Ticket]()} }

// Offer admits a request if there is room and nobody waits. Else it returns a ticket with
// which the request waits, or ErrExceeded or ErrNoRoom if it cannot get room in time.
func (g *Gate) Offer(w Work, now time.Time) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.free >= 1 && g.scheduler.Waiting() == 0 {
		g.free--
		g.scheduler.Pass(w.Account, w.Priority, 1, now)
		return nil, nil
	}
	if err := g.refusal(w, now); err != nil {
		g.scheduler.Refuse(w.Account, w.Priority, 1, now)
		return nil, err
	}
	t := &Ticket{work: w, until: now.Add(w.Hold), decision: make(chan error, 1)}
	t.entry = g.scheduler.Push(w.Account, w.Priority, 1, t, now)
	g.admit(now)
	return t, nil
}

// SetFree sets how many requests have room now, admits waiting requests and refuses those
// that have waited as long as they may.
func (g *Gate) SetFree(free float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free = free
	g.scheduler.DropOldest(func(t *Ticket) bool {
		late := !now.Before(t.until)
		if late {
			t.decision <- g.refuse(t.work, now)
		}
		return late
	})
	g.admit(now)
}

// Ended returns the room of a request that ended, and admits the next one.
func (g *Gate) Ended(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.free++
	g.admit(now)
}

// Cancel removes a request that no longer waits. It reports whether the request had got
// room, which the caller then must return.
func (g *Gate) Cancel(t *Ticket) (admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Remove(t.entry)
	select {
	case err := <-t.decision:
		return err == nil
	default:
		return false
	}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Waiting()
}

// admit gives the free room to waiting requests. The caller holds g.mu.
func (g *Gate) admit(now time.Time) {
	for g.free >= 1 && g.scheduler.Waiting() > 0 {
		g.free--
		g.scheduler.Next(now).Value.decision <- nil
	}
}

// refusal returns the error of a request that cannot get room in time, else nil. The caller
// holds g.mu.
func (g *Gate) refusal(w Work, now time.Time) error {
	wait, _ := g.scheduler.EstimateWait(w.Account, w.Priority, now)
	if g.scheduler.Waiting() < maxWaiting && float64(wait) <= holdFraction*float64(w.Hold) {
		return nil
	}
	return g.refuse(w, now)
}

// refuse returns the error of a refused request. Its retry delay covers the expected wait and
// the time until the account has no more than its share, with jitter.
func (g *Gate) refuse(w Work, now time.Time) error {
	wait, debt := g.scheduler.EstimateWait(w.Account, w.Priority, now)
	kind, text := ErrNoRoom, "no room in the time that the request has"
	if debt > 0 {
		kind, text = ErrExceeded, "the account has used its share and others wait"
	}
	delay := time.Duration(float64(max(wait, w.Hold)+debt) * (minRetryFactor + w.Spread))
	return kind.New("%s", text).WithProperty(propRetryAfter, min(max(delay, minRetryAfter), maxRetryAfter))
}

// RetryAfter returns the delay after which a refused caller may retry, and whether err is an
// error of this package.
func RetryAfter(err error) (time.Duration, bool) {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0, false
	}
	value, ok := cast.Property(propRetryAfter)
	if !ok {
		return 0, false
	}
	delay, ok := value.(time.Duration)
	return delay, ok
}
