package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/intake"
)

// slowHeadResponse is sent to a caller whose request head does not arrive in time.
const slowHeadResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// abortDeadline is earlier than the deadline of any request head. When net/http no
// longer needs a pending read, it aborts the read with a deadline that lies before
// abortDeadline.
var abortDeadline = time.Unix(1_000_000, 0)

// headConn is a caller's connection that responds with status 408 if a request head
// began and did not arrive completely in time. By itself, net/http closes such a
// connection without a response.
type headConn struct {
	net.Conn
	aborted atomic.Bool // the current deadline only aborts a read
	// awaitsHead is true between requests. headStarted is true once bytes have
	// arrived since then.
	awaitsHead  atomic.Bool
	headStarted atomic.Bool
}

func newHeadConn(conn net.Conn) *headConn {
	c := &headConn{Conn: conn}
	c.awaitsHead.Store(true)
	return c
}

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.headStarted.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.aborted.Load() && c.awaitsHead.Load() && c.headStarted.CompareAndSwap(true, false) {
		_, _ = c.Write([]byte(slowHeadResponse)) // the connection is closed next in any case
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *headConn) SetReadDeadline(deadline time.Time) error {
	c.aborted.Store(!deadline.IsZero() && deadline.Before(abortDeadline))
	return c.Conn.SetReadDeadline(deadline)
}

// trackConnState records on a connection whether a request is being served on it.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*headConn)
	if !ok {
		return
	}
	c.awaitsHead.Store(state != http.StateActive)
	if state == http.StateIdle {
		c.headStarted.Store(false)
	}
}

// intakeConn returns the connection of the intake that a connection wraps, or nil.
func intakeConn(conn net.Conn) *intake.Conn {
	c, ok := conn.(*headConn)
	if !ok {
		return nil
	}
	counted, _ := c.Conn.(*intake.Conn)
	return counted
}

// CloseWrite closes the sending direction; the caller can still read what was sent.
// net/http calls CloseWrite before it closes a connection whose request was not
// read to the end.
func (c *headConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
