package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// startWithShortTimeouts starts a node with a timeout of 100 ms for request heads
// and bodies.
func startWithShortTimeouts(t *testing.T) *testNode {
	t.Helper()
	t.Parallel()
	s := newSystem(t)
	n := s.start("n1")
	s.store.ShortTimeouts(2)
	require.Eventually(t, func() bool { return n.node.routes.Load().Version == 2 }, waitLimit, pollInterval)
	return n
}

func dial(t *testing.T, n *testNode, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", n.address)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, conn.Close()) })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

func requireStatus(t *testing.T, reader *bufio.Reader, want int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, want, response.StatusCode)
}

const requestFormat = "POST /lookup/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"

// TestSlowHead checks that a request head that does not arrive in time is answered
// with status 408, also on a connection that has served a request before.
func TestSlowHead(t *testing.T) {
	n := startWithShortTimeouts(t)
	_, from := dial(t, n, "POST /lookup/x HTTP/1.1\r\nHost: ")
	requireStatus(t, from, http.StatusRequestTimeout)
	rest, err := io.ReadAll(from)
	require.NoError(t, err)
	require.Empty(t, string(rest), "exactly one response is sent before the connection is closed")
	conn, from := dial(t, n, request("a"))
	requireStatus(t, from, http.StatusOK)
	_, err = io.WriteString(conn, "POST /lookup/x HTTP/1.1\r\nHost: ")
	require.NoError(t, err)
	requireStatus(t, from, http.StatusRequestTimeout)
}

// TestSlowBody checks that a body that stops arriving is answered with status 408.
func TestSlowBody(t *testing.T) {
	n := startWithShortTimeouts(t)
	_, from := dial(t, n, "POST /lookup/x HTTP/1.1\r\nHost: "+platformtest.Host+"\r\nX-Request-Id: a\r\nContent-Length: 10\r\n\r\n12345")
	requireStatus(t, from, http.StatusRequestTimeout)
}

// TestPipelinedRequestsAreServed checks that all requests that arrive in one packet
// are answered: an aborted read between them must not count as a slow head.
func TestPipelinedRequestsAreServed(t *testing.T) {
	n := startWithShortTimeouts(t)
	_, from := dial(t, n, request("a")+request("b")+request("c"))
	for range 3 {
		requireStatus(t, from, http.StatusOK)
	}
}

// TestIdleConnectionIsClosedWithoutResponse checks that a connection on which no
// head began is closed without a response.
func TestIdleConnectionIsClosedWithoutResponse(t *testing.T) {
	n := startWithShortTimeouts(t)
	_, from := dial(t, n, "")
	_, err := from.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func request(id string) string { return fmt.Sprintf(requestFormat, id) }
