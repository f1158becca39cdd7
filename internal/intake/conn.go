package intake

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase int32

const (
	// awaitingHead means that no complete request head has arrived, and idle the same after an
	// earlier request.
	awaitingHead phase = iota
	idle
	// serving means that the process itself has work on the request.
	serving
	// receiving means that a body is arriving, and sending that an answer is being written.
	receiving
	sending
)

// Parameters of the order in which callers are turned away.
const (
	// referenceRate is the rate, in bytes a second, at which a caller does not fall behind.
	referenceRate = 1 << 20
	// idleDivisor makes connections between two requests count as later than others only after a
	// longer time.
	idleDivisor = 8
	// minLateness is how late a caller must be to lose its connection to a new one.
	minLateness = 100 * time.Millisecond
	// maxWritePart bounds what is written at once, so that progress shows.
	maxWritePart = 64 << 10
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	intake *Intake
	client string

	phase      atomic.Int32
	phaseSince atomic.Int64 // when the phase began, in Unix nanoseconds
	// received counts all bytes, bodyBytes those of the current body.
	received, bodyBytes atomic.Int64
	// bodyRead is set when the body of the current request was read to its end.
	bodyRead atomic.Bool
	// writeTime is the time that the writes of the current answer took so far, in nanoseconds, and
	// sent counts its bytes.
	writeTime, sent atomic.Int64
	hold            atomic.Pointer[Hold]
	// keepsBacklog is set if what a slow caller does not read of the current answer is kept; backlog
	// is what is kept, and backlogSince when the caller last read some of it, in Unix nanoseconds.
	keepsBacklog atomic.Bool
	backlog      atomic.Pointer[backlog]
	backlogSince atomic.Int64
}

// Admit returns a connection that counts towards the bounds. If there are too many, the latest
// caller loses its connection; if no caller is late, the new connection is closed and Admit returns
// false.
func (in *Intake) Admit(accepted net.Conn) (*Conn, bool) {
	conn := &Conn{Conn: accepted, intake: in}
	conn.begin(awaitingHead)
	if in.limits.ClientConnections > 0 {
		conn.client = clientOf(accepted)
	}
	victim, bound := in.register(conn)
	if victim != nil {
		victim.abort()
	}
	if bound != "" {
		in.countTurnedAway(bound)
	}
	if bound != "" && victim == nil {
		reset(accepted)
		return nil, false
	}
	return conn, true
}

// register adds a connection. It returns the bound that it meets, if any, and the connection that
// has to go in its place; without one, the connection was not added.
func (in *Intake) register(conn *Conn) (victim *Conn, met Bound) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case conn.client != "" && in.clients[conn.client] >= in.limits.ClientConnections:
		victim, met = in.latest(func(c *Conn) bool { return c.client == conn.client }), BoundClientConnections
	case len(in.conns) >= in.limits.Connections:
		victim, met = in.latest(func(*Conn) bool { return true }), BoundConnections
	}
	if met != "" && victim == nil {
		return nil, met
	}
	if victim != nil {
		in.remove(victim)
	}
	in.conns[conn] = struct{}{}
	if conn.client != "" {
		in.clients[conn.client]++
	}
	return victim, met
}

// latest returns the caller that is latest, at least by minLateness, or nil. The caller holds mu.
func (in *Intake) latest(eligible func(*Conn) bool) *Conn {
	now := in.now().UnixNano()
	var latest *Conn
	most := minLateness
	for conn := range in.conns {
		if !eligible(conn) {
			continue
		}
		if late, ok := conn.lateness(now); ok && late >= most {
			latest, most = conn, late
		}
	}
	return latest
}

// remove removes a connection. The caller holds mu.
func (in *Intake) remove(conn *Conn) {
	if _, open := in.conns[conn]; !open {
		return
	}
	delete(in.conns, conn)
	if conn.client == "" {
		return
	}
	if in.clients[conn.client]--; in.clients[conn.client] == 0 {
		delete(in.clients, conn.client)
	}
}

// clientOf returns the address of a client without its port.
func clientOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// begin starts a phase.
func (c *Conn) begin(p phase) {
	c.phaseSince.Store(c.intake.now().UnixNano())
	c.phase.Store(int32(p))
}

// lateness returns how far a caller is behind one that sends and reads at referenceRate, and false
// if it is not the caller that is waited for.
func (c *Conn) lateness(now int64) (time.Duration, bool) {
	if c.backlog.Load() != nil {
		return time.Duration(now - c.backlogSince.Load()), true
	}
	elapsed := time.Duration(now - c.phaseSince.Load())
	switch phase(c.phase.Load()) {
	case awaitingHead:
		return elapsed, true
	case idle:
		return elapsed / idleDivisor, true
	case receiving:
		return elapsed - timeFor(c.bodyBytes.Load(), referenceRate), true
	case sending:
		return elapsed + time.Duration(c.writeTime.Load()) - timeFor(c.sent.Load(), referenceRate), true
	}
	return 0, false
}

// timeFor returns how long a number of bytes takes at a rate in bytes a second.
func timeFor(bytes, rate int64) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// onState follows the states of an HTTP connection.
func (c *Conn) onState(state http.ConnState) {
	switch state {
	case http.StateNew:
	case http.StateIdle:
		c.begin(idle)
		c.endHold()
	case http.StateActive:
		c.writeTime.Store(0)
		c.sent.Store(0)
		c.bodyBytes.Store(0)
		c.bodyRead.Store(false)
		c.keepsBacklog.Store(false)
		c.hold.Store(newHold(c))
		c.begin(serving)
	case http.StateHijacked, http.StateClosed:
		c.endHold()
		if l := c.backlog.Load(); l == nil || !l.onEnd(func() error { c.forget(); return nil }) {
			c.forget()
		}
	}
}

// endHold releases the memory of the current request.
func (c *Conn) endHold() {
	if hold := c.hold.Swap(nil); hold != nil {
		hold.Release()
	}
}

// forget makes the connection no longer count towards the bounds.
func (c *Conn) forget() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.remove(c)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It fails if the caller reads nothing for the time of the limit.
func (c *Conn) Write(b []byte) (written int, err error) {
	if l := c.backlog.Load(); l != nil {
		if kept, err := c.writeBehind(l, b); kept || err != nil {
			return len(b), err
		}
	}
	before, since := phase(c.phase.Load()), c.phaseSince.Load()
	defer func() {
		c.phaseSince.Store(since)
		c.phase.Store(int32(before))
	}()
	triedBacklog := false
	for {
		part := b[written:min(len(b), written+maxWritePart)]
		limit := c.intake.limits.WriteStall
		if c.keepsBacklog.Load() && !triedBacklog {
			limit = min(limit, backlogAfter)
		}
		n, err := c.writeWithin(part, limit)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) && c.keepsBacklog.Load() && !triedBacklog {
			if c.startBacklog(b[written:]) {
				return len(b), nil
			}
			triedBacklog, err = true, nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.intake.countTurnedAway(BoundWriteStall)
			c.abort()
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// writeWithin writes a part of an answer within a time limit and counts it for lateness.
func (c *Conn) writeWithin(part []byte, limit time.Duration) (int, error) {
	began := c.intake.now()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	c.begin(sending)
	n, err := c.Conn.Write(part)
	c.sent.Add(int64(n))
	c.writeTime.Add(int64(c.intake.now().Sub(began)))
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if l := c.backlog.Load(); l != nil && l.onEnd(c.closeNow) {
		return nil
	}
	return c.closeNow()
}

// closeNow closes the connection without waiting for a backlog.
func (c *Conn) closeNow() error {
	c.forget()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error {
	if l := c.backlog.Load(); l != nil && l.onEnd(c.closeWriteNow) {
		return nil
	}
	return c.closeWriteNow()
}

// closeWriteNow closes the sending direction without waiting for a backlog.
func (c *Conn) closeWriteNow() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// abort closes the connection and drops what was not sent.
func (c *Conn) abort() {
	c.forget()
	reset(c.Conn)
}

// setResetAtClose makes the kernel reset a connection when it is closed, or end it in order.
func setResetAtClose(conn net.Conn, resets bool) {
	seconds := -1 // send what is left in the background
	if resets {
		seconds = 0
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails only on a connection that is closed
	}
}

// reset closes a connection without sending what is left.
func reset(conn net.Conn) {
	setResetAtClose(conn, true)
	_ = conn.Close()
}
