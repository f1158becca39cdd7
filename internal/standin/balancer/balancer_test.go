package balancer_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/balancer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// entry is a backend whose readiness the test controls and whose calls are counted.
type entry struct {
	*httptest.Server
	ready atomic.Bool
	calls atomic.Int64
}

func newEntry(t *testing.T, serve http.HandlerFunc) *entry {
	t.Helper()
	e := &entry{}
	e.ready.Store(true)
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/readyz" {
			e.calls.Add(1)
			serve(w, r)
			return
		}
		if !e.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entry) backend() balancer.Backend {
	address := strings.TrimPrefix(e.URL, "http://")
	return balancer.Backend{Address: address, Ready: address}
}

func start(t *testing.T, entries ...*entry) (*balancer.Server, *httptest.Server) {
	t.Helper()
	options := balancer.Options{CheckInterval: time.Millisecond}
	for _, e := range entries {
		options.Backends = append(options.Backends, e.backend())
	}
	server := balancer.New(options)
	front := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		front.Close()
		server.Close()
	})
	awaitReady(t, server, len(entries))
	return server, front
}

func awaitReady(t *testing.T, server *balancer.Server, want int) {
	t.Helper()
	require.Eventually(t, func() bool {
		ready := 0
		for _, status := range server.Backends() {
			if status.IsReady {
				ready++
			}
		}
		return ready == want
	}, time.Minute, time.Millisecond)
}

func post(t *testing.T, front *httptest.Server, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/a%2Fb?q=1", strings.NewReader(body))
	require.NoError(t, err)
	resp, err := front.Client().Do(req)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func TestRoundRobinHonoursReadiness(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.EscapedPath()+"?"+r.URL.RawQuery+" "+string(body))
	}
	a, b := newEntry(t, echo), newEntry(t, echo)
	server, front := start(t, a, b)
	for range 4 {
		resp, err := post(t, front, "hello")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "/a%2Fb?q=1 hello", string(body))
	}
	require.EqualValues(t, 2, a.calls.Load())
	require.EqualValues(t, 2, b.calls.Load())
	a.ready.Store(false)
	awaitReady(t, server, 1)
	for range 3 {
		_, err := post(t, front, "")
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, a.calls.Load())
	b.ready.Store(false)
	awaitReady(t, server, 0)
	resp, err := post(t, front, "")
	require.NoError(t, err)
	require.Equal(t, engine.OutcomeNotRun, resp.Header.Get(engine.HeaderOutcome))
}

func TestStreamsPassUnbuffered(t *testing.T) {
	proceed := make(chan struct{})
	e := newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "one\n")
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = io.WriteString(w, "two\n")
	})
	_, front := start(t, e)
	resp, err := post(t, front, "")
	require.NoError(t, err)
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "one\n", first)
	close(proceed)
	second, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "two\n", second)
}

func TestBrokenResponsesArePassedOnWithoutRetry(t *testing.T) {
	dropConnection := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	sendPartial := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	a, b := newEntry(t, dropConnection), newEntry(t, sendPartial)
	_, front := start(t, a, b)
	broken := 0
	for range 4 {
		resp, err := post(t, front, "x")
		require.NoError(t, err)
		if resp.StatusCode == http.StatusBadGateway {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err)
		broken++
	}
	require.Equal(t, 2, broken)
	require.EqualValues(t, 4, a.calls.Load()+b.calls.Load())
}

func TestRefusedConnectionGoesToTheNextEntry(t *testing.T) {
	ok := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	a, b := newEntry(t, ok), newEntry(t, ok)
	server := balancer.New(balancer.Options{Backends: []balancer.Backend{a.backend(), b.backend()}, CheckInterval: time.Hour})
	defer server.Close()
	front := httptest.NewServer(server.Handler())
	defer front.Close()
	awaitReady(t, server, 2)
	a.Close()
	for range 2 {
		resp, err := post(t, front, "x")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "x", string(body))
	}
}
