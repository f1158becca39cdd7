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

	mu sync.Mutex
	// current is the exchange whose answer arrives.
	current *exchange
	err     error // why the current answer is malformed
	// ended means that nothing more can be read.
	ended bool
}

// newConn returns a connection on which nothing is expected yet.
func newConn(of net.Conn) *conn {
	c := &conn{Conn: of}
	c.current = &exchange{conn: c}
	return c
}

// exchange is a request on a connection, and its answer. The connection may have the next exchange
// before the caller has the answer: net/http passes it on before it returns an answer without a body.
type exchange struct {
	*conn
	// requestWritten means that the request was written to its end, but for what net/http is about
	// to flush.
	requestWritten atomic.Bool
	head           head // guarded by the connection's mu
}

// begin returns a new exchange, and makes the bytes that arrive from now on the head of its answer.
func (c *conn) begin() *exchange {
	e := &exchange{conn: c, head: head{stage: awaitingStatus}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = e
	return e
}

// last returns the exchange that began last.
func (c *conn) last() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// headArrived reports whether the head was complete and well-formed.
func (e *exchange) headArrived() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.head.stage == complete
}

// cause returns why an answer was not received: because it is malformed, also if only net/http
// says so of a head that is complete, or else the error that net/http returned.
func (e *exchange) cause(err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.err != nil:
		return e.err
	case e.head.stage == complete && !e.ended:
		return ErrMalformed.Wrap(err, "the head is complete")
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.last().checkEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = c.current.head.add(b[:n])
	}
	if c.err != nil {
		return 0, c.err
	}
	c.ended = err != nil
	return n, err
}
