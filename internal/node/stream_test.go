package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestErrorOfASecondEndpointStaysOutOfAStream guards against a stream into which the error of
// the endpoint that should resume it is written, and against one that looks complete although
// it broke off.
func TestErrorOfASecondEndpointStaysOutOfAStream(t *testing.T) {
	s := newSystem(t)
	s.store.Configure(1, platformtest.StreamRoute)
	n := s.start("n1")
	for _, status := range []int{
		http.StatusOK, http.StatusNoContent, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			for _, e := range s.engines {
				e.BreakStreams(1)
				e.SetFailResumes(status)
			}
			id := fmt.Sprint("stream-", status)
			request, err := platformtest.Request(http.MethodPost, n.address, "/chat/x", id, []byte("b"))
			require.NoError(t, err)
			response, err := s.client.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
			content, err := io.ReadAll(response.Body)
			require.Error(t, err, "the stream must not look complete")
			require.Equal(t, fmt.Sprintf("id: 1\ndata: %s-1\n\n", id), string(content))
		})
	}
}

// callEarlierVersion sends a request in HTTP/1.0, in which a stream ends with its connection, and
// returns the body of the answer.
func callEarlierVersion(t *testing.T, n *testNode, path, id string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", n.address)
	require.NoError(t, err)
	defer conn.Close()
	head := strings.Replace(platformtest.Head(http.MethodPost, path, id, 1), "HTTP/1.1", "HTTP/1.0", 1)
	_, err = io.WriteString(conn, head+"b")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Negative(t, response.ContentLength)
	require.Empty(t, response.TransferEncoding)
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestBrokenStreamLooksBrokenInAnEarlierVersion checks that a caller that speaks HTTP/1.0 can tell a
// stream that broke off from a whole one.
func TestBrokenStreamLooksBrokenInAnEarlierVersion(t *testing.T) {
	s := newSystem(t)
	s.store.Configure(1, platformtest.StreamRoute)
	n := s.start("n1")
	content, err := callEarlierVersion(t, n, "/chat/x", "whole")
	require.NoError(t, err)
	require.Equal(t, platformtest.StreamText("whole", 5), content)
	for _, e := range s.engines {
		e.BreakStreams(1)
		e.SetFailResumes(http.StatusConflict)
	}
	content, err = callEarlierVersion(t, n, "/chat/x", "broken")
	require.Error(t, err, "%q looks whole", content)
}
