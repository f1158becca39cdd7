package fault_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
)

func start(t *testing.T) (*fault.Gate, *httptest.Server, *httptest.Server) {
	t.Helper()
	gate := &fault.Gate{}
	target := httptest.NewServer(gate.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		gate.LoseReply(r)
	})))
	t.Cleanup(target.Close)
	mux := http.NewServeMux()
	gate.Register(mux)
	control := httptest.NewServer(mux)
	t.Cleanup(control.Close)
	return gate, target, control
}

func status(t *testing.T, server *httptest.Server, client string) (int, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set(fault.HeaderClientID, client)
	resp, err := server.Client().Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func TestFrozenCallsContinueAfterFaultIsCleared(t *testing.T) {
	gate, target, _ := start(t)
	gate.Set(fault.Fault{Freeze: true})
	done := make(chan error, 1)
	go func() {
		_, err := status(t, target, "a")
		done <- err
	}()
	gate.Set(fault.Fault{Freeze: true})
	gate.Clear()
	require.NoError(t, <-done)
}

func TestCountedFaultsApplyToGivenNumberOfCalls(t *testing.T) {
	gate, target, _ := start(t)
	gate.Set(fault.Fault{RefuseNext: 1, LoseReplies: 1})
	code, err := status(t, target, "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, code)
	_, err = status(t, target, "a")
	require.Error(t, err)
	code, err = status(t, target, "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
}

func TestControlSetsAndClearsFaults(t *testing.T) {
	gate, target, control := start(t)
	call := func(method, body string) {
		req, err := http.NewRequestWithContext(t.Context(), method, control.URL+"/faults", strings.NewReader(body))
		require.NoError(t, err)
		resp, err := control.Client().Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Less(t, resp.StatusCode, http.StatusBadRequest)
	}
	call(http.MethodPut, `{"client":"a","down":true}`)
	require.Equal(t, []fault.Fault{{Client: "a", Down: true}}, gate.List())
	code, err := status(t, target, "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, code)
	code, err = status(t, target, "b")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code)
	call(http.MethodDelete, "")
	require.Empty(t, gate.List())
}
