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

// headConn is a caller's connection that knows whether its last read ran into
// the deadline of a head. Net/http closes such a connection without a word.
type headConn struct {
	net.Conn
	aborted  atomic.Bool // the deadline in force only ends a read
	timedOut atomic.Bool
}

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.timedOut.Store(errors.Is(err, os.ErrDeadlineExceeded) && !c.aborted.Load())
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *headConn) SetReadDeadline(at time.Time) error {
	c.aborted.Store(!at.IsZero() && at.Before(abortDeadline))
	return c.Conn.SetReadDeadline(at)
}

// answerSlowHead is told the states of connections: one becomes active when a
// head came, or when a part of it came and the read failed.
func answerSlowHead(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*headConn)
	if !ok || state != http.StateActive || !c.timedOut.Load() {
		return
	}
	_, _ = c.Write([]byte(slowHeadAnswer)) // the connection is closed next, whatever comes of it
}
