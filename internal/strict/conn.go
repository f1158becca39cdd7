package strict

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// conn checks the heads of the answers that are read from a connection, and its end.
type conn struct {
	net.Conn

	// requestWritten means that the current request was written to its end, but for what net/http
	// is about to flush.
	requestWritten atomic.Bool

	mu   sync.Mutex
	head head
	err  error // why the current answer is malformed
	// ended means that nothing more can be read.
	ended bool
}

// expectHead makes the bytes that arrive from now on the head of an answer. The request has not
// been written yet.
func (c *conn) expectHead() {
	c.requestWritten.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{stage: awaitingStatus}
}

// headArrived reports whether the head was complete and well-formed.
func (c *conn) headArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.stage == complete
}

// cause returns why an answer was not received: because it is malformed, also if only net/http
// says so of a head that is complete, or else the error that net/http returned.
func (c *conn) cause(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return c.err
	case c.head.stage == complete && !c.ended:
		return ErrMalformed.Wrap(err, "the head is complete")
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.headArrived() {
		err = c.checkEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = c.head.add(b[:n])
	}
	if c.err != nil {
		return 0, c.err
	}
	c.ended = err != nil
	return n, err
}
