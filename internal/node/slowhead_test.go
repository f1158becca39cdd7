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

// shortTimeouts starts a node that gives heads and bodies 100 ms.
func shortTimeouts(t *testing.T) *testNode {
	t.Helper()
	t.Parallel()
	s := newSystem(t)
	n := s.start("n1")
	s.store.ShortTimeouts(2)
	require.Eventually(t, func() bool { return n.node.routes.Load().Version == 2 }, patience, pause)
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

func requireStatus(t *testing.T, from *bufio.Reader, want int) {
	t.Helper()
	response, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, want, response.StatusCode)
}

const wholeRequest = "POST /lookup/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"

// TestSlowHead: a head that does not come in time is answered with 408, also on
// a connection that served before.
func TestSlowHead(t *testing.T) {
	n := shortTimeouts(t)
	_, from := dial(t, n, "POST /lookup/x HTTP/1.1\r\nHost: ")
	requireStatus(t, from, http.StatusRequestTimeout)
	rest, err := io.ReadAll(from)
	require.NoError(t, err)
	require.Empty(t, string(rest), "one answer, then the end")
	conn, from := dial(t, n, request("a"))
	requireStatus(t, from, http.StatusOK)
	_, err = io.WriteString(conn, "POST /lookup/x HTTP/1.1\r\nHost: ")
	require.NoError(t, err)
	requireStatus(t, from, http.StatusRequestTimeout)
}

// TestSlowBody: a body that stops coming is answered with 408.
func TestSlowBody(t *testing.T) {
	n := shortTimeouts(t)
	_, from := dial(t, n, "POST /lookup/x HTTP/1.1\r\nHost: "+platformtest.Host+"\r\nX-Request-Id: a\r\nContent-Length: 10\r\n\r\n12345")
	requireStatus(t, from, http.StatusRequestTimeout)
}

// TestPipelinedRequestsAreServed: requests that came in one packet are all
// answered; the end of a read between them is no late head.
func TestPipelinedRequestsAreServed(t *testing.T) {
	n := shortTimeouts(t)
	_, from := dial(t, n, request("a")+request("b")+request("c"))
	for range 3 {
		requireStatus(t, from, http.StatusOK)
	}
}

// TestIdleConnectionIsClosedSilently: a connection on which no head began ends
// without an answer.
func TestIdleConnectionIsClosedSilently(t *testing.T) {
	n := shortTimeouts(t)
	_, from := dial(t, n, "")
	_, err := from.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func request(id string) string { return fmt.Sprintf(wholeRequest, id) }
