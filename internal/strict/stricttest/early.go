package stricttest

import (
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"
	"time"
)

// Ending is how a server ends a connection.
type Ending int

const (
	// Reset resets the connection.
	Reset Ending = iota
	// Abandon reads what arrives of the request, and closes the connection before its end, as the
	// kernel does for a process that was killed.
	Abandon
	// Finish closes the sending direction, and then reads the request to its end.
	Finish
	// FinishUnread closes the sending direction, and resets the connection after finishedPause
	// without reading on.
	FinishUnread
)

// LargeBytes is the size of a request that is more than what the sockets of a connection hold, so that
// it is still being written when an early answer arrives.
const LargeBytes = 24 << 20

// finishedPause is how long a connection with the ending FinishUnread stays open.
const finishedPause = time.Second

// Early is an answer that is sent before its request has been read.
type Early struct {
	// Parts are sent one after the other, with Pause between them and before the end.
	Parts  []string
	Pause  time.Duration
	Ending Ending
}

// NewEarlyServer starts a server that answers each request as soon as it has read the head.
func NewEarlyServer(answer func(*http.Request) Early) *Server {
	return newServer(func(conn countingConn, r *http.Request) error {
		return answer(r).send(conn, r)
	})
}

// send sends the answer and ends the connection.
func (e Early) send(conn countingConn, r *http.Request) error {
	if e.Ending == Abandon {
		go func() { _, _ = io.Copy(io.Discard, r.Body) }() // until the connection is closed
	}
	for _, part := range e.Parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		time.Sleep(e.Pause)
	}
	if e.Ending == Finish || e.Ending == FinishUnread {
		if err := conn.CloseWrite(); err != nil {
			return err
		}
	}
	switch e.Ending {
	case Finish:
		_, err := io.Copy(io.Discard, r.Body)
		return err
	case FinishUnread:
		time.Sleep(finishedPause)
		return conn.reset()
	case Reset:
		return conn.reset()
	}
	return conn.Close()
}

// Unsized returns an answer in a form that does not say where its body ends, so that it ends with
// its connection.
func Unsized(answer string) string {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	var lines []string
	for line := range strings.SplitSeq(head, "\r\n") {
		if !strings.HasPrefix(line, "Content-Length:") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// WithoutLength are the forms of an answer that does not say where its body ends.
var WithoutLength = []Malformation{
	{Name: "no length", Apply: Unsized},
	unsizedWith("earlier version", "HTTP/1.1", "HTTP/1.0"),
	unsizedWith("announced close", "\r\n", "\r\nConnection: close\r\n"),
	unsizedWith("failure", "200 OK", "500 Failed"),
	unsizedWith("refusal", "200 OK", "503 Busy"),
}

// unsizedWith returns a form without a length in which the first old text of the head is replaced.
func unsizedWith(name, old, replacement string) Malformation {
	return Malformation{Name: name, Apply: func(answer string) string {
		return strings.Replace(Unsized(answer), old, replacement, 1)
	}}
}

// ResetPauses are the times between the parts of an early answer. How soon a reset follows decides
// whether a write or a read of the client is told of it.
var ResetPauses = []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}

// Resets returns the given answer, without a length and early, in all forms and with all pauses
// before the connection is reset.
func Resets(answer string) iter.Seq2[string, Early] {
	return func(yield func(string, Early) bool) {
		for _, form := range WithoutLength {
			for _, pause := range ResetPauses {
				name := fmt.Sprintf("%s, reset after %v", form.Name, pause)
				if !yield(name, Early{Parts: []string{form.Apply(answer)}, Pause: pause, Ending: Reset}) {
					return
				}
			}
		}
	}
}

// Finished returns the given answer, without a length and early, on a connection that ends in order.
func Finished(answer string) Early {
	return Early{Parts: []string{Unsized(answer)}, Ending: Finish}
}

// CallEarly makes a call to a server with an early answer.
func CallEarly(answer Early, do func(address string) error) error {
	server := NewEarlyServer(func(*http.Request) Early { return answer })
	defer server.Close()
	return do(server.Address())
}
