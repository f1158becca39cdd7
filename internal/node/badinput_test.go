package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestBadInput checks that each kind of invalid request is answered with its own status and
// that the node still serves valid requests afterwards.
func TestBadInput(t *testing.T) {
	s := newSystem(t)
	n := s.start("n1")
	valid := string(platformtest.Submission("a", 4))
	for name, c := range map[string]struct {
		method, path, id, body string
		header                 int // bytes of padding in a header
		want                   int
	}{
		"unknown route":              {"POST", "/none/x", "r", "", 0, http.StatusNotFound},
		"body over the limit":        {"POST", "/lookup/x", "r", strings.Repeat("x", 1_000_001), 0, http.StatusRequestEntityTooLarge},
		"head over the limit":        {"POST", "/lookup/x", "r", "", 40_000, http.StatusRequestHeaderFieldsTooLarge},
		"no submission":              {"POST", "/draft/a", "a", "{", 0, http.StatusBadRequest},
		"submission without an id":   {"POST", "/draft/a", "", valid, 0, http.StatusBadRequest},
		"submission without items":   {"POST", "/draft/a", "a", `{"step":1,"model":"m","items":[]}`, 0, http.StatusBadRequest},
		"two items with one id":      {"POST", "/draft/a", "a", strings.ReplaceAll(valid, "a-1", "a-0"), 0, http.StatusBadRequest},
		"submission with GET":        {"GET", "/draft/a", "a", "", 0, http.StatusMethodNotAllowed},
		"results after a non-number": {"GET", platformtest.ResultsPath("a") + "?after=x", "", "", 0, http.StatusBadRequest},
		"results of unknown id":      {"GET", platformtest.ResultsPath("never"), "", "", 0, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := platformtest.Request(c.method, n.address, c.path, c.id, []byte(c.body))
			require.NoError(t, err)
			request.Header.Set("X-Padding", strings.Repeat("x", c.header))
			response, err := s.client.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, c.want, response.StatusCode)
		})
	}
	status, _ := s.call(n, "POST", "/lookup/x", "after", nil)
	require.Equal(t, http.StatusOK, status)
}

// TestNodeWithoutConfigurationIsNotReady checks that a node without a configuration
// fails its readiness check and refuses requests with a status which means that
// they did not run.
func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	s := newSystem(t)
	s.store.RemoveConfiguration()
	n := s.launch("n1")
	require.Eventually(t, func() bool {
		status, _ := s.call(n, "POST", "/lookup/x", "r", nil)
		return status == http.StatusServiceUnavailable
	}, waitLimit, pollInterval)
	response, err := s.client.Get("http://" + n.ready + "/ready")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
