// Package crowd plays clients outside the published limits: many connections at once that send
// large, unfinished or very slow requests, or read no answers. Only tests and the soak command use
// it. Each client opens a bounded number of connections and ends by itself after a bounded time.
package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Bounds on one client of a crowd.
const (
	// connections is how many connections a client opens, one after another, when the process
	// closes them.
	connections = 3
	// sendLimit bounds the sending on one connection; a client that is not read gives up then.
	sendLimit = 20 * time.Second
	// holdLimit bounds how long a connection is held open afterwards.
	holdLimit = 60 * time.Second
	// sendBuffer is the size of a client's write buffer, in bytes.
	sendBuffer = 64 << 10
)

// Behavior is what each client of a part of a crowd does.
type Behavior struct {
	// Name describes the behavior.
	Name    string
	Clients int
	// Send writes to a new connection. It returns an error if the connection was closed.
	Send func(w *bufio.Writer) error
	// Unread means that the client never reads.
	Unread bool
}

// Crowd is a set of clients.
type Crowd struct {
	cancel      context.CancelFunc
	sent, ended sync.WaitGroup
}

// Start starts the clients. They hold their connections open until Leave is called or holdLimit has
// passed.
func Start(address string, behaviors ...Behavior) *Crowd {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit+holdLimit)
	c := &Crowd{cancel: cancel}
	for _, b := range behaviors {
		for range b.Clients {
			c.sent.Add(1)
			c.ended.Go(func() { b.run(ctx, address, sync.OnceFunc(c.sent.Done)) })
		}
	}
	return c
}

// Await waits until each client has sent or given up its first connection.
func (c *Crowd) Await() { c.sent.Wait() }

// Leave closes all connections and waits until all clients have ended.
func (c *Crowd) Leave() {
	c.cancel()
	c.ended.Wait()
}

// run opens the connections of one client, one after another. It calls sent after the first one has
// sent or failed.
func (b Behavior) run(ctx context.Context, address string, sent func()) {
	defer sent()
	for range connections {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			sent()
			continue
		}
		b.use(ctx, conn, sent)
		if ctx.Err() != nil {
			return
		}
	}
}

// use sends on a connection and holds it until the process closes it or ctx ends.
func (b Behavior) use(ctx context.Context, conn net.Conn, sent func()) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	if !b.Unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
	w := bufio.NewWriterSize(conn, sendBuffer)
	err := b.Send(w)
	if err == nil {
		err = w.Flush()
	}
	sent()
	if err != nil {
		return // closed, or not read for sendLimit
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// Head returns a request head without its last empty line.
func Head(method, path string, fields ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: h", "X-Request-Id: crowd"}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// Chunked sends a body of size bytes in chunks; if complete, with the last chunk that ends it.
func Chunked(head string, size, chunk int, complete bool) func(*bufio.Writer) error {
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return func(w *bufio.Writer) error {
		if _, err := w.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for range size / chunk {
			if _, err := w.WriteString(text); err != nil {
				return err
			}
		}
		if !complete {
			return nil
		}
		_, err := w.WriteString("0\r\n\r\n")
		return err
	}
}

// Stated sends a head that states a length, and part of the body.
func Stated(head string, length int, part string) func(*bufio.Writer) error {
	return Text(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, length, part))
}

// Text sends a text.
func Text(content string) func(*bufio.Writer) error {
	return func(w *bufio.Writer) error {
		_, err := w.WriteString(content)
		return err
	}
}
