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
)

// behavior is what each client of a part of a crowd does.
type behavior struct {
	name    string
	clients int
	// send writes to a new connection. It returns an error if the connection was closed.
	send func(w *bufio.Writer) error
	// unread means that the client never reads.
	unread bool
}

// crowd is a set of clients that have all sent what they send.
type crowd struct {
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// gather starts the clients, and returns when each has sent or given up its first connection. The
// clients hold their connections open until leave is called or holdLimit has passed.
func gather(address string, behaviors ...behavior) *crowd {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit+holdLimit)
	c := &crowd{cancel: cancel}
	var sent sync.WaitGroup
	for _, b := range behaviors {
		for range b.clients {
			sent.Add(1)
			c.ended.Go(func() { b.run(ctx, address, sync.OnceFunc(sent.Done)) })
		}
	}
	sent.Wait()
	return c
}

// leave closes all connections and waits until all clients have ended.
func (c *crowd) leave() {
	c.cancel()
	c.ended.Wait()
}

func (b behavior) run(ctx context.Context, address string, sent func()) {
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
func (b behavior) use(ctx context.Context, conn net.Conn, sent func()) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	if !b.unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
	w := bufio.NewWriterSize(conn, 64<<10)
	err := b.send(w)
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

// head returns a request head without its last empty line.
func head(method, path string, fields ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: h", "X-Request-Id: crowd"}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// chunked sends a body of size bytes in chunks; if complete, with the last chunk that ends it.
func chunked(head string, size, chunk int, complete bool) func(*bufio.Writer) error {
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

// stated sends a head that states a length, and part of the body.
func stated(head string, length int, part string) func(*bufio.Writer) error {
	return text(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, length, part))
}

// text sends a text.
func text(content string) func(*bufio.Writer) error {
	return func(w *bufio.Writer) error {
		_, err := w.WriteString(content)
		return err
	}
}
