package service_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
)

func start(t *testing.T, options service.Options) (*service.Server, *httptest.Server) {
	t.Helper()
	server, err := service.New(options)
	require.NoError(t, err)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return server, listener
}

func call(t *testing.T, listener *httptest.Server, method, path, body, key string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, listener.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.GetBody = nil // prevents the transport from resending requests that have an idempotency key
	req.Header.Set(engine.HeaderRequestID, "r1")
	if key != "" {
		req.Header.Set(service.HeaderIdempotencyKey, key)
	}
	resp, err := listener.Client().Do(req)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func decodeResult(t *testing.T, resp *http.Response) service.Result {
	t.Helper()
	var r service.Result
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

func TestLookupReturnsUpdatedValueAndRepeatedUpdateRunsAgain(t *testing.T) {
	server, listener := start(t, service.Options{})
	for range 2 {
		resp, err := call(t, listener, http.MethodPost, "/wells/7", "deep", "k1")
		require.NoError(t, err)
		require.Equal(t, "r1", resp.Header.Get(engine.HeaderRequestID))
	}
	resp, err := call(t, listener, http.MethodGet, "/wells/7", "", "")
	require.NoError(t, err)
	require.Equal(t, service.Result{Sequence: 3, Path: "/wells/7", Value: "deep", Found: true, RequestID: "r1"}, decodeResult(t, resp))
	records := server.Journal()
	require.Len(t, records, 3)
	require.Equal(t, "k1", records[1].Key)
}

func TestFaultsBeforeAndAfterRunning(t *testing.T) {
	server, listener := start(t, service.Options{Slots: 1})
	server.Gate.Set(fault.Fault{RefuseNext: 1, LoseReplies: 1})
	resp, err := call(t, listener, http.MethodPost, "/a", "1", "k1")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, engine.OutcomeNotRun, resp.Header.Get(engine.HeaderOutcome))
	require.Empty(t, server.Journal())
	_, err = call(t, listener, http.MethodPost, "/a", "1", "k1")
	require.Error(t, err)
	require.Len(t, server.Journal(), 1)
}

func TestLeavingRefusesNewWork(t *testing.T) {
	server, listener := start(t, service.Options{})
	server.SetLeaving(true)
	resp, err := call(t, listener, http.MethodGet, "/a", "", "")
	require.NoError(t, err)
	require.Equal(t, engine.OutcomeNotRun, resp.Header.Get(engine.HeaderOutcome))
	require.True(t, server.Load().Leaving)
	require.Empty(t, server.Journal())
}

func TestCrashMarkerCrashesServiceAfterRecording(t *testing.T) {
	server, listener := start(t, service.Options{})
	_, err := call(t, listener, http.MethodPost, "/a", "x"+service.CrashMarker, "k1")
	require.Error(t, err)
	require.Len(t, server.Journal(), 1)
	_, err = call(t, listener, http.MethodGet, "/a", "", "")
	require.Error(t, err)
	server.Restart()
	_, err = call(t, listener, http.MethodGet, "/a", "", "")
	require.NoError(t, err)
}
