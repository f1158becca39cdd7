package crowds

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

const (
	// smallestMemoryMB is the memory of the smallest instance on which a body of the usual
	// largest size must be served.
	smallestMemoryMB = 144
	// largestEntryBody is the largest body that an entry accepts.
	largestEntryBody = 1 << 20
	// submissionItems is the number of items of a large step.
	submissionItems = 4096
	// calmTimeout bounds one request; it is not a guarantee.
	calmTimeout = time.Minute
)

// unsized hides the length of a reader, so that the body is sent in chunks.
type unsized struct{ io.Reader }

// TestCalmNodeServesTheLargestBody checks that requests of the largest sizes within the limits are
// served when they come alone, on a small instance.
func TestCalmNodeServesTheLargestBody(t *testing.T) {
	s := startNodeWith(t, 10, smallestMemoryMB, maxFiles, (*platformtest.Store).ConfigureForLargeBodies)
	require.True(t, s.answers())
	largest := bytes.Repeat([]byte("x"), platformtest.LargestBody)
	require.Equal(t, http.StatusOK, s.send(t, "/lookup/x", "sized", bytes.NewReader(largest)))
	require.Equal(t, http.StatusOK, s.send(t, "/lookup/x", "chunked", unsized{bytes.NewReader(largest)}))
	require.Equal(t, http.StatusRequestEntityTooLarge, s.send(t, "/lookup/x", "beyond", unsized{io.MultiReader(bytes.NewReader(largest), strings.NewReader("x"))}))
	require.Equal(t, http.StatusAccepted, s.send(t, "/draft/step", "step", bytes.NewReader(platformtest.Submission("step", submissionItems))))
	peak, alive := s.memory()
	t.Logf("memory: %.1f MB at its peak, setting %d MB", peak, smallestMemoryMB)
	require.True(t, alive)
	assert.LessOrEqual(t, peak, float64(smallestMemoryMB))
}

// TestCalmEntryServesTheLargestBody checks the same of an entry.
func TestCalmEntryServesTheLargestBody(t *testing.T) {
	s := startEntry(t)
	for _, body := range []io.Reader{strings.NewReader(strings.Repeat("x", largestEntryBody)), unsized{strings.NewReader(strings.Repeat("x", largestEntryBody))}} {
		request, err := http.NewRequest(http.MethodPut, "http://"+s.address+largeValue, body)
		require.NoError(t, err)
		request.Header.Set("X-Class", "lookup")
		require.True(t, answered(&http.Client{Timeout: calmTimeout}, request))
	}
}

// send sends a request to a node once and returns the status.
func (s subject) send(t *testing.T, path, id string, body io.Reader) int {
	t.Helper()
	request, err := platformtest.Request(http.MethodPost, s.address, path, id, nil)
	require.NoError(t, err)
	with, err := http.NewRequest(http.MethodPost, request.URL.String(), body)
	require.NoError(t, err)
	with.Host, with.Header = request.Host, request.Header
	response, err := (&http.Client{Timeout: calmTimeout}).Do(with)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}
