package strict

import (
	"errors"
	"io"
	"time"
)

// errNoSocket means that the state of a connection cannot be read.
var errNoSocket = errors.New("not a TCP socket of Linux")

// ending is the state of a connection of which a read has found the end.
type ending struct {
	// inOrder means that the remote side closed the connection and has not reset it so far.
	inOrder bool
	// acknowledged means that the remote side has acknowledged all that was written.
	acknowledged bool
}

const (
	// resetLimit is how long a reset may follow the orderly end of a connection whose request has not
	// been read to its end: it answers the data that come after that end. It leaves time for one
	// retransmission.
	resetLimit = 300 * time.Millisecond
	// endingPause is the pause between two readings of the state of a connection.
	endingPause = time.Millisecond
)

// checkEnd returns io.EOF if the connection ended in order, or before the head of the answer, and
// ErrBroken if there is no proof that it ended in order. The kernel reports the failure of a
// connection to a single system call. If that was a write, a read finds the same as at an orderly
// end, so only the state of the connection tells the two apart.
//
// A process that ends while it reads a request first closes the connection in order. The reset
// comes with the next data, so an answer that ends before its request has to wait for it.
func (e *exchange) checkEnd() error {
	if !e.headArrived() {
		return io.EOF
	}
	early := !e.requestWritten.Load()
	for waited := time.Duration(0); ; waited += endingPause {
		state, err := readEnding(e.Conn)
		if err != nil {
			return ErrBroken.Wrap(err, "the end of the connection cannot be checked")
		}
		if !state.inOrder {
			return ErrBroken.New("the connection broke")
		}
		if !early && state.acknowledged || waited >= resetLimit {
			return io.EOF
		}
		time.Sleep(endingPause)
	}
}
