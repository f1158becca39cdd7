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
	// requests is the number of requests so far, and headOf the number of the last one whose answer
	// has a complete head.
	requests, headOf int
	// ended means that nothing more can be read.
	ended bool
}

// expectHead makes the bytes that arrive from now on the head of an answer, and returns the number
// of its request on this connection. The request has not been written yet.
func (c *conn) expectHead() int {
	c.requestWritten.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{stage: awaitingStatus}
	c.requests++
	return c.requests
}

// headArrived reports whether the head of the answer to a request was complete and well-formed. The
// connection may have the next request already: net/http passes it on before it returns an answer
// without a body.
func (c *conn) headArrived(request int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headOf >= request
}

// answering reports whether the head of the current answer has arrived.
func (c *conn) answering() bool {
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
	if errors.Is(err, io.EOF) && c.answering() {
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
	if c.head.stage == complete {
		c.headOf = c.requests
	}
	c.ended = err != nil
	return n, err
}
