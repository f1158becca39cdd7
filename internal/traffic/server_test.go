package traffic

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/metrics"
	"github.com/comfreyfront/comfreyfront/internal/policy/naive"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// memoryClaims is an in-memory claim.Claimer.
type memoryClaims struct {
	mu           sync.Mutex
	endings      map[claim.Key]claim.Ending
	fingerprints map[claim.Key]claim.Fingerprint
	down         bool
}

func (c *memoryClaims) Claim(_ context.Context, r claim.Request) (claim.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return claim.Grant{}, claim.ErrUnavailable.New("down")
	}
	grant := claim.Grant{Key: r.Key, Verdict: claim.Granted}
	prior, known := c.endings[r.Key]
	switch {
	case known && c.fingerprints[r.Key] != r.Fingerprint:
		grant.Verdict = claim.Mismatch
	case known && prior.State != claim.NotRun:
		grant.Verdict, grant.Prior = claim.Taken, prior
	default:
		c.endings[r.Key], c.fingerprints[r.Key] = claim.Ending{State: claim.Running}, r.Fingerprint
	}
	return grant, nil
}

func (c *memoryClaims) Settle(_ context.Context, grant claim.Grant, ending claim.Ending) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endings[grant.Key] = ending
	return nil
}

type noObserver struct{}

func (noObserver) EndpointLeaving(string)  {}
func (noObserver) EndpointFailed(string)   {}
func (noObserver) EndpointAnswered(string) {}

// records stores the records that the server reports.
type records struct {
	mu       sync.Mutex
	recorded []Record
}

func (r *records) Record(record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = append(r.recorded, record)
}

// newServer returns a test server whose only endpoint is one plain service, and the records
// that it reports.
func newServer(t *testing.T, service http.Handler, claims *memoryClaims) (*httptest.Server, *records) {
	t.Helper()
	return newServerWithin(t, service, claims, intake.New(intake.Limits{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry()))
}

// newServerWithin returns the same server within the bounds of an intake.
func newServerWithin(t *testing.T, service http.Handler, claims *memoryClaims, bounds *intake.Intake) (*httptest.Server, *records) {
	t.Helper()
	backend := httptest.NewUnstartedServer(service)
	backend.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	backend.Start()
	t.Cleanup(backend.Close)
	snapshots := &control.Snapshots{}
	snapshots.Publish(&control.Snapshot{
		Classes:     &class.Document{Revision: 1, Classes: []class.Class{{Name: "update", Lateness: time.Second}}},
		ConfirmedAt: time.Now().Add(time.Hour),
		Endpoints: map[string][]*endpoint.Endpoint{"register": {{
			ID: "register-1", Kind: endpoint.Service, Serves: "register",
			Address: strings.TrimPrefix(backend.URL, "http://"), Live: &endpoint.Live{},
		}}},
	})
	trafficMetrics := metrics.NewTraffic(prometheus.NewRegistry())
	logger := slog.New(slog.DiscardHandler)
	transport := engine.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	dispatcher := dispatch.New(dispatch.Options{
		Snapshots: snapshots, Policy: naive.New(), Observer: noObserver{}, Suspects: dispatch.NoSuspects{}, Metrics: trafficMetrics,
		Engines:  engine.NewClient(transport),
		Services: engine.NewServiceClient(transport, engine.NewSingleUseTransport()),
	}, logger)
	recorder := &records{}
	entry := httptest.NewUnstartedServer(New(Options{
		Snapshots: snapshots, Dispatcher: dispatcher, Claimer: claims, Metrics: trafficMetrics, Recorder: recorder,
		Steps: http.NotFoundHandler(), Rollouts: http.NotFoundHandler(), Ready: http.NotFoundHandler(),
		RequestTimeout: 10 * time.Second,
	}, logger))
	entry.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	intake.Track(entry.Config, intake.ConnOf)
	entry.Listener = bounds.Listener(entry.Listener)
	entry.Start()
	t.Cleanup(entry.Close)
	return entry, recorder
}

func newClaims() *memoryClaims {
	return &memoryClaims{endings: map[claim.Key]claim.Ending{}, fingerprints: map[claim.Key]claim.Fingerprint{}}
}

// send makes one call and returns the response and its body.
func send(t *testing.T, method, url, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	call, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range headers {
		call.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(call)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer, string(text)
}

// countingService counts the calls that it runs and answers each of them.
type countingService struct {
	mu    sync.Mutex
	calls int
	// refuse makes the following calls fail as not run; cut aborts their connections.
	refuse, cut bool
}

func (c *countingService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse {
		w.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.calls++
	if c.cut {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "done")
}

// count returns the number of calls that ran.
func (c *countingService) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func withKey(key string) map[string]string {
	return map[string]string{request.HeaderClass: "update", request.HeaderIdempotencyKey: key}
}

func TestKeyedUpdateRunsOnceAndIsReplayed(t *testing.T) {
	service := &countingService{}
	entry, _ := newServer(t, service, newClaims())
	first, body := send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", withKey("k"))
	require.Equal(t, http.StatusOK, first.StatusCode)
	require.Equal(t, "done", body)
	retry, body := send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", withKey("k"))
	require.Equal(t, "done", body)
	require.Equal(t, "true", retry.Header.Get(HeaderReplayed))
	require.Equal(t, string(request.Answered), retry.Header.Get(request.HeaderOutcome))
	other, _ := send(t, http.MethodPost, entry.URL+"/services/register/wells", "y", withKey("k"))
	require.Equal(t, http.StatusBadRequest, other.StatusCode, "another body under the same key")
	require.Equal(t, 1, service.count())
}

func TestInterruptedKeyedUpdateIsUnknownAndNotRetried(t *testing.T) {
	service := &countingService{cut: true}
	entry, _ := newServer(t, service, newClaims())
	for _, status := range []int{http.StatusBadGateway, http.StatusConflict} {
		answer, _ := send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", withKey("k"))
		require.Equal(t, status, answer.StatusCode)
		require.Equal(t, string(request.Unknown), answer.Header.Get(request.HeaderOutcome))
	}
	require.Equal(t, 1, service.count())
}

func TestRefusedUpdateMayRunLater(t *testing.T) {
	service := &countingService{refuse: true}
	entry, _ := newServer(t, service, newClaims())
	answer, _ := send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", withKey("k"))
	require.Equal(t, string(request.NotRun), answer.Header.Get(request.HeaderOutcome))
	service.mu.Lock()
	service.refuse = false
	service.mu.Unlock()
	answer, _ = send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", withKey("k"))
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Equal(t, 1, service.count())
}

func TestRequestIsNotRunIfItsKeyCannotBeClaimed(t *testing.T) {
	service := &countingService{}
	claims := newClaims()
	claims.down = true
	entry, recorder := newServer(t, service, claims)
	answer, body := send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", withKey("k"))
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	var problem request.Problem
	require.NoError(t, json.Unmarshal([]byte(body), &problem))
	require.Equal(t, request.NotRun, problem.Outcome)
	require.Positive(t, problem.RetryAfterMillis)
	require.Zero(t, service.count())
	require.Equal(t, request.NotRun, recorder.recorded[0].Outcome)
}

func TestUnkeyedPostIsNeverSentTwice(t *testing.T) {
	service := &countingService{cut: true}
	entry, _ := newServer(t, service, newClaims())
	answer, _ := send(t, http.MethodPost, entry.URL+"/services/register/wells", "x", map[string]string{request.HeaderClass: "update"})
	require.Equal(t, string(request.Unknown), answer.Header.Get(request.HeaderOutcome))
	require.Equal(t, 1, service.count())
}

func TestInvalidInputIsRejected(t *testing.T) {
	entry, _ := newServer(t, &countingService{}, newClaims())
	ok := map[string]string{request.HeaderClass: "update"}
	cases := []struct {
		name, path, body, want string
		headers                map[string]string
		status                 int
	}{
		{name: "no class", path: "/v1/completions", body: "{}", want: "there is no class", status: 400},
		{name: "unknown class", path: "/v1/completions", headers: map[string]string{request.HeaderClass: "x"}, want: `no class \"x\"`, status: 400},
		{name: "bad tenant", path: "/v1/completions", headers: map[string]string{request.HeaderClass: "update", request.HeaderTenant: "a b"}, want: "X-Tenant", status: 400},
		{name: "bad version", path: "/v1/completions", headers: map[string]string{request.HeaderClass: "update", request.HeaderMinVersion: "new"}, want: "weight version", status: 400},
		{name: "bad idempotent", path: "/v1/completions", headers: map[string]string{request.HeaderClass: "update", HeaderIdempotent: "maybe"}, want: "true or false", status: 400},
		{name: "key with idempotent", path: "/services/register/x", headers: map[string]string{request.HeaderClass: "update", HeaderIdempotent: "true", request.HeaderIdempotencyKey: "k"}, want: "contradicts", status: 400},
		{name: "long key", path: "/services/register/x", headers: withKey(strings.Repeat("k", maxKeyLength+1)), want: "255", status: 400},
		{name: "malformed body", path: "/v1/completions", headers: ok, body: "{", want: "not a valid completion request", status: 400},
		{name: "no model", path: "/v1/completions", headers: ok, body: `{"prompt":"p"}`, want: "model", status: 400},
		{name: "several choices", path: "/v1/completions", headers: ok, body: `{"model":"m","prompt":"p","n":2}`, want: "only one choice", status: 400},
		{name: "resume by a caller", path: "/v1/completions", headers: ok, body: `{"model":"m","prompt":"p","resume":"x"}`, want: "resume", status: 400},
		{name: "streamed with a key", path: "/v1/completions", headers: withKey("k"), body: `{"model":"m","prompt":"p","stream":true}`, want: "cannot be stored", status: 400},
		{name: "oversized", path: "/v1/completions", headers: ok, body: strings.Repeat("x", maxBodySize+1), want: "at most", status: 413},
		{name: "unknown path", path: "/v2/x", want: "not served", status: 404},
		{name: "unknown application", path: "/services/other/x", headers: ok, want: `no endpoint serves \"other\"`, status: 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer, body := send(t, http.MethodPost, entry.URL+c.path, c.body, c.headers)
			require.Equal(t, c.status, answer.StatusCode, body)
			require.Equal(t, request.ProblemContentType, answer.Header.Get("Content-Type"))
			require.Equal(t, string(request.NotRun), answer.Header.Get(request.HeaderOutcome))
			require.Contains(t, body, c.want)
		})
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"stream":true,"temperature":0.1}`))
	f.Add([]byte(`{"model":"m","prompt":"p","n":1}`))
	f.Add([]byte(`{"max_tokens":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := parseCompletion(body)
		if err != nil {
			require.True(t, errorx.IsOfType(err, request.ErrInvalid))
			return
		}
		require.NotEmpty(t, parsed.Model)
		require.GreaterOrEqual(t, parsed.MaxTokens, 1)
		_, err = json.Marshal(parsed)
		require.NoError(t, err, "an accepted request can be encoded")
	})
}

func TestClassesAreConfirmedBeforeUse(t *testing.T) {
	snapshots := &control.Snapshots{}
	now := time.Unix(1000, 0)
	old := &class.Document{Revision: 1, Classes: []class.Class{{Name: "old"}}}
	snapshots.Publish(&control.Snapshot{Classes: old, ConfirmedAt: now.Add(-time.Minute), StoreReachable: true})
	s := &Server{options: Options{Snapshots: snapshots, Clock: func() time.Time { return now }}}
	done := make(chan *control.Snapshot)
	go func() { done <- s.confirmedSnapshot(context.Background()) }()
	renewed := &class.Document{Revision: 2, Classes: []class.Class{{Name: "new"}}}
	snapshots.Publish(&control.Snapshot{Classes: renewed, ConfirmedAt: now, StoreReachable: true})
	require.Equal(t, int64(2), (<-done).Classes.Revision)
	snapshots.Publish(&control.Snapshot{Classes: renewed, ConfirmedAt: now.Add(-time.Minute)})
	require.Equal(t, int64(2), s.confirmedSnapshot(context.Background()).Classes.Revision, "without a confirmation the latest snapshot is used")
}

func TestBufferedBodiesAreBounded(t *testing.T) {
	none := intake.New(intake.Limits{Memory: 1}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	entry, _ := newServerWithin(t, &countingService{}, newClaims(), none)
	answer, body := send(t, http.MethodPost, entry.URL+"/services/register/wells", "xx", withKey("k"))
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, body)
	require.Equal(t, string(request.NotRun), answer.Header.Get(request.HeaderOutcome))
	enough := intake.New(intake.Limits{Memory: 1 << 20}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	entry, _ = newServerWithin(t, &countingService{}, newClaims(), enough)
	answer, _ = send(t, http.MethodPost, entry.URL+"/services/register/wells", "xx", withKey("k"))
	require.Equal(t, http.StatusOK, answer.StatusCode)
	released := func() bool { return enough.Used() == 0 }
	require.Eventually(t, released, 10*time.Second, time.Millisecond, "each request releases its reserved bytes")
}
