package node

import (
	"fmt"
	"io"
	"net/http"
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
