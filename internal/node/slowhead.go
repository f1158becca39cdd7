package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// slowHeadAnswer is what a caller gets whose head does not come in time.
const slowHeadAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// abortDeadline is earlier than any deadline of a head: net/http ends a read
// that it no longer needs by a deadline of this kind.
var abortDeadline = time.Unix(1_000_000, 0)

// headConn is a caller's connection that answers a head which began and does not
// end in time. Net/http closes such a connection without a word.
type headConn struct {
	net.Conn
	aborted atomic.Bool // the deadline in force only ends a read
	// awaitsHead is set between requests, and began once bytes came since.
	awaitsHead atomic.Bool
	began      atomic.Bool
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
		c.began.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.aborted.Load() && c.awaitsHead.Load() && c.began.CompareAndSwap(true, false) {
		_, _ = c.Write([]byte(slowHeadAnswer)) // the connection is closed next, whatever comes of it
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *headConn) SetReadDeadline(at time.Time) error {
	c.aborted.Store(!at.IsZero() && at.Before(abortDeadline))
	return c.Conn.SetReadDeadline(at)
}

// followState tells a connection whether a request is being served on it.
func followState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*headConn)
	if !ok {
		return
	}
	c.awaitsHead.Store(state != http.StateActive)
	if state == http.StateIdle {
		c.began.Store(false)
	}
}

// CloseWrite ends the answers; the caller can still read what was sent. Net/http
// uses it before it closes a connection whose request it did not read to its end.
func (c *headConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
