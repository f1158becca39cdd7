// Package stricttest provides a server that sends given bytes in place of answers, and the ways in
// which an answer can be malformed.
package stricttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Server is a server on loopback that sends any bytes as answers.
type Server struct {
	listener net.Listener
	answer   func(conn countingConn, r *http.Request) error
	conns    sync.WaitGroup
	sent     atomic.Int64
}

// NewServer starts a server that answers each request with the bytes that answer returns, and then
// closes the connection.
func NewServer(answer func(*http.Request) string) *Server {
	return newServer(afterRequest(func(w io.Writer, r *http.Request) error {
		_, err := io.WriteString(w, answer(r))
		return err
	}))
}

// afterRequest returns a function that reads a request to its end before it is answered.
func afterRequest(answer func(w io.Writer, r *http.Request) error) func(countingConn, *http.Request) error {
	return func(conn countingConn, r *http.Request) error {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		return answer(conn, r)
	}
}

// newServer starts a server that answers each request by a function, which is called when the head
// has been read, and then closes the connection.
func newServer(answer func(conn countingConn, r *http.Request) error) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // as httptest.NewServer does
	}
	s := &Server{listener: listener, answer: answer}
	s.conns.Go(s.accept)
	return s
}

// Call makes a call to a server that answers with the given bytes.
func Call(answer string, do func(address string) error) error {
	server := NewServer(func(*http.Request) string { return answer })
	defer server.Close()
	return do(server.Address())
}

// Address returns the server's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns how many bytes of answers were sent.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops the server and waits until its connections are closed.
func (s *Server) Close() {
	_ = s.listener.Close() // ends accept
	s.conns.Wait()
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.serve(conn) })
	}
}

// serve answers the first request on a connection.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = s.answer(countingConn{conn.(*net.TCPConn), &s.sent}, request) // the client may have closed the connection
}

// countingConn is a connection that counts the bytes that are written.
type countingConn struct {
	*net.TCPConn
	count *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.count.Add(int64(n))
	return n, err
}

// reset closes the connection without an orderly end.
func (c countingConn) reset() error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

// Answer returns a well-formed answer with status 200. Each field is one line of the head, without
// its line end.
func Answer(body string, fields ...string) string {
	var lines strings.Builder
	for _, field := range fields {
		lines.WriteString(field + "\r\n")
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines.String(), len(body), body)
}
