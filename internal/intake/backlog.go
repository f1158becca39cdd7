package intake

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"
)

// Parameters of backlogs.
const (
	// backlogAfter is how long a write of a stream blocks until the rest is kept for its caller.
	backlogAfter = 250 * time.Millisecond
	// maxBacklog bounds what is kept for one caller, in bytes.
	maxBacklog = 1 << 20
)

// backlog is what a caller that reads slowly has not read yet. It is kept so that the endpoint of a
// stream, which cuts off an answer that nobody reads, is not left waiting.
type backlog struct {
	hold *Hold
	// done is closed when everything was written, or when err is set.
	done chan struct{}

	mu    sync.Mutex
	parts [][]byte
	size  int
	ended bool
	err   error
	// atEnd lists what has to be done on the connection when the backlog has ended.
	atEnd []func() error
}

// KeepReading makes the answer to the request that ctx belongs to be kept, as far as there is
// memory, when its caller reads slowly.
func KeepReading(ctx context.Context) {
	if conn := connOf(ctx); conn != nil {
		conn.keepsBacklog.Store(true)
	}
}

// add keeps a copy of b. It returns false if there is no room, or if the backlog has ended.
func (l *backlog) add(b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.size+len(b) > maxBacklog || !l.hold.tryTake(int64(len(b))) {
		return false
	}
	l.parts = append(l.parts, append([]byte(nil), b...))
	l.size += len(b)
	return true
}

// onEnd registers what has to be done at the end. It returns false if the backlog has ended.
func (l *backlog) onEnd(finish func() error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.atEnd = append(l.atEnd, finish)
	return true
}

// next returns the first part, or false if there is none; the backlog has ended then.
func (l *backlog) next() ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.parts) == 0 {
		l.ended = true
		return nil, false
	}
	return l.parts[0], true
}

// written removes the first part.
func (l *backlog) written() {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := len(l.parts[0])
	l.parts[0], l.parts = nil, l.parts[1:]
	l.size -= size
	l.hold.Return(int64(size))
}

// fail ends the backlog with an error.
func (l *backlog) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended, l.err, l.parts = true, err, nil
}

// startBacklog keeps the rest of a write that blocks, if there is room, and writes it in the
// background.
func (c *Conn) startBacklog(rest []byte) bool {
	l := &backlog{hold: newHold(c), done: make(chan struct{})}
	if !l.add(rest) {
		l.hold.Release()
		return false
	}
	c.backlogSince.Store(c.intake.now().UnixNano())
	c.backlog.Store(l)
	go c.drain(l)
	return true
}

// drain writes a backlog to its end.
func (c *Conn) drain(l *backlog) {
	defer close(l.done)
	defer l.hold.Release()
	for {
		part, ok := l.next()
		if !ok {
			break
		}
		if err := c.writeParts(part, func() { c.backlogSince.Store(c.intake.now().UnixNano()) }); err != nil {
			l.fail(err)
			c.abort()
			break
		}
		l.written()
	}
	c.backlog.CompareAndSwap(l, nil)
	for _, finish := range l.atEnd {
		_ = finish() // the connection ends in any case
	}
}

// writeParts writes b in parts, each within the limit on a stalled write.
func (c *Conn) writeParts(b []byte, progress func()) error {
	for len(b) > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.intake.limits.WriteStall)); err != nil {
			return err
		}
		n, err := c.Conn.Write(b[:min(len(b), maxWritePart)])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.intake.countTurnedAway(BoundWriteStall)
		}
		if err != nil {
			return err
		}
		b = b[n:]
		progress()
	}
	return nil
}

// writeBehind adds b to the backlog. If there is no room, it waits for the end of the backlog and
// returns false, so that the caller writes b itself.
func (c *Conn) writeBehind(l *backlog, b []byte) (bool, error) {
	if l.add(b) {
		return true, nil
	}
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	return false, l.err
}
