package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is a running engine with a client.
type fixture struct {
	*engine.Server
	url    string
	client *http.Client
}

func start(t *testing.T, options engine.Options) *fixture {
	t.Helper()
	options.Model = "m"
	if options.TimeScale == 0 {
		options.TimeScale = 0.01
	}
	server, err := engine.New(options)
	require.NoError(t, err)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return &fixture{Server: server, url: listener.URL, client: listener.Client()}
}

func (b *fixture) post(ctx context.Context, t *testing.T, path, id string, body any) *http.Response {
	t.Helper()
	resp, err := b.tryPost(ctx, t, path, id, body)
	require.NoError(t, err)
	return resp
}

func (b *fixture) tryPost(ctx context.Context, t *testing.T, path, id string, body any) (*http.Response, error) {
	t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+path, bytes.NewReader(encoded))
	require.NoError(t, err)
	req.Header.Set(protocol.HeaderRequestID, id)
	resp, err := b.client.Do(req)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

// stream contains the data received from a streamed answer.
type stream struct {
	text         string
	spans        []protocol.Span
	ended        bool
	finishReason string
	err          error
}

func readStream(t *testing.T, resp *http.Response) stream {
	t.Helper()
	var s stream
	var body bytes.Buffer
	_, s.err = body.ReadFrom(resp.Body)
	for line := range strings.SplitSeq(body.String(), "\n\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == protocol.StreamEnd {
			s.ended = true
			continue
		}
		var chunk protocol.CompletionChunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		choice := chunk.Choices[0]
		s.text += choice.Text
		s.spans = append(s.spans, protocol.Span{WeightVersion: choice.WeightVersion, Tokens: choice.Tokens})
		s.finishReason = choice.FinishReason
	}
	return s
}

func (b *fixture) events(id string) []engine.Event {
	var kinds []engine.Event
	for _, record := range b.Journal() {
		if record.RequestID == id {
			kinds = append(kinds, record.Event)
		}
	}
	return kinds
}

func newRequest(prompt string, tokens int) protocol.CompletionRequest {
	return protocol.CompletionRequest{Model: "m", Prompt: prompt, MaxTokens: tokens, Stream: true, Seed: 7}
}

func TestStreamIsCompleteAndReproducible(t *testing.T) {
	b := start(t, engine.Options{Version: 3})
	got := readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("draft #tokens=20", 50)))
	require.NoError(t, got.err)
	require.True(t, got.ended)
	require.Equal(t, "stop", got.finishReason)
	require.Equal(t, engine.Text(engine.Base("m", "draft #tokens=20", 7), 0, got.spans), got.text)
	require.Equal(t, []engine.Event{engine.Received, engine.Begun, engine.Finished}, b.events("r1"))
	records := b.Journal()
	require.Equal(t, []protocol.Span{{WeightVersion: 3, Tokens: 20}}, records[len(records)-1].Spans)
}

func TestNonStreamingAnswer(t *testing.T) {
	b := start(t, engine.Options{Version: 3})
	request := newRequest("p", 5)
	request.Stream = false
	resp := b.post(t.Context(), t, protocol.PathCompletions, "r1", request)
	require.Equal(t, "r1", resp.Header.Get(protocol.HeaderRequestID))
	var chunk protocol.CompletionChunk
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&chunk))
	require.Equal(t, "length", chunk.Choices[0].FinishReason)
	require.Equal(t, []protocol.Span{{WeightVersion: 3, Tokens: 5}}, chunk.Choices[0].Spans)
	require.Equal(t, engine.Text(engine.Base("m", "p", 7), 0, chunk.Choices[0].Spans), chunk.Choices[0].Text)
}

func TestResumeGivesTheSameText(t *testing.T) {
	b := start(t, engine.Options{Version: 1})
	whole := readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 10)))
	first := engine.Text(engine.Base("m", "p", 7), 0, []protocol.Span{{WeightVersion: 1, Tokens: 4}})
	request := newRequest("p", 10)
	request.Resume, request.ResumeTokens = first, 4
	rest := readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r2", request))
	require.True(t, rest.ended)
	require.Equal(t, whole.text, first+rest.text)
	request.Resume, request.ResumeTokens = whole.text, 10
	empty := readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r3", request))
	require.True(t, empty.ended)
	require.Equal(t, "length", empty.finishReason)
	require.Empty(t, empty.text)
}

func TestVersionChangesBetweenTokens(t *testing.T) {
	b := start(t, engine.Options{Version: 1, TimeScale: 0.2})
	resp := b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 200))
	b.order(t, protocol.PathStage, 2, 0, http.StatusOK)
	b.order(t, protocol.PathActivate, 2, 0, http.StatusOK)
	got := readStream(t, resp)
	require.True(t, got.ended)
	records := b.Journal()
	generated := records[len(records)-1].Spans
	require.Len(t, generated, 2)
	require.Equal(t, engine.Text(engine.Base("m", "p", 7), 0, generated), got.text)
	require.Equal(t, engine.Text(engine.Base("m", "p", 7), 0, got.spans), got.text)
}

func (b *fixture) order(t *testing.T, path string, version, fence int64, status int) protocol.WeightState {
	t.Helper()
	resp := b.post(t.Context(), t, path, "", protocol.WeightOrder{Version: version, Fence: fence})
	require.Equal(t, status, resp.StatusCode)
	var state protocol.WeightState
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&state))
	return state
}

func TestOrdersAreCheckedAgainstFence(t *testing.T) {
	checks := start(t, engine.Options{ChecksFence: true})
	checks.order(t, protocol.PathStage, 2, 5, http.StatusOK)
	checks.order(t, protocol.PathStage, 1, 4, http.StatusPreconditionFailed)
	checks.order(t, protocol.PathActivate, 2, 4, http.StatusPreconditionFailed)
	require.Equal(t, protocol.WeightState{Active: 2, Staged: 2, Fence: 5}, checks.order(t, protocol.PathActivate, 2, 5, http.StatusOK))
	ignores := start(t, engine.Options{})
	ignores.order(t, protocol.PathStage, 2, 5, http.StatusOK)
	ignores.order(t, protocol.PathStage, 1, 4, http.StatusOK)
}

func TestOrdersRequireStagedVersionAndDeadline(t *testing.T) {
	b := start(t, engine.Options{Version: 1})
	b.order(t, protocol.PathActivate, 2, 0, http.StatusConflict)
	b.order(t, protocol.PathActivate, 1, 0, http.StatusOK)
	late := protocol.WeightOrder{Version: 2, Deadline: time.Unix(1, 0)}
	require.Equal(t, http.StatusConflict, b.post(t.Context(), t, protocol.PathStage, "", late).StatusCode)
}

func TestFailedSwapDisablesEngineUntilActivated(t *testing.T) {
	b := start(t, engine.Options{Version: 1})
	b.order(t, protocol.PathStage, 2, 0, http.StatusOK)
	b.SetFault(engine.Fault{FailActivations: 1})
	require.True(t, b.order(t, protocol.PathActivate, 2, 0, http.StatusInternalServerError).Broken)
	resp := b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 1))
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, protocol.OutcomeNotRun, resp.Header.Get(protocol.HeaderOutcome))
	require.False(t, b.order(t, protocol.PathActivate, 2, 0, http.StatusOK).Broken)
	require.True(t, readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r2", newRequest("p", 1))).ended)
	require.Empty(t, b.events("r1"))
}

func TestOrderWithLostReplyTakesEffect(t *testing.T) {
	b := start(t, engine.Options{Version: 1})
	b.SetFault(engine.Fault{LoseReplies: 1})
	_, err := b.tryPost(t.Context(), t, protocol.PathStage, "", protocol.WeightOrder{Version: 2})
	require.Error(t, err)
	require.EqualValues(t, 2, b.Weights().Staged)
}

func TestLowerPriorityNumberRunsFirst(t *testing.T) {
	b := start(t, engine.Options{Slots: 1})
	blocker := b.post(t.Context(), t, protocol.PathCompletions, "blocker", newRequest("p", 300))
	var group sync.WaitGroup
	submit := func(id string, priority int) {
		request := newRequest("p", 1)
		request.Priority = priority
		group.Go(func() { readStream(t, b.post(t.Context(), t, protocol.PathCompletions, id, request)) })
		require.Eventually(t, func() bool { return len(b.events(id)) > 0 }, time.Minute, time.Millisecond)
	}
	submit("low", 9)
	submit("high", 1)
	readStream(t, blocker)
	group.Wait()
	var begun []string
	for _, record := range b.Journal() {
		if record.Event == engine.Begun {
			begun = append(begun, record.RequestID)
		}
	}
	require.Equal(t, []string{"blocker", "high", "low"}, begun)
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	b := start(t, engine.Options{TimeScale: 1})
	ctx, cancel := context.WithCancel(t.Context())
	b.post(ctx, t, protocol.PathCompletions, "r1", newRequest("p", 100000))
	cancel()
	require.Eventually(t, func() bool { return len(b.events("r1")) == 3 }, time.Minute, time.Millisecond)
	require.Equal(t, engine.Cancelled, b.events("r1")[2])
	require.Zero(t, b.Load().Running)
}

func TestLeavingEngineRefusesNewRequestsAndFinishesRunning(t *testing.T) {
	b := start(t, engine.Options{ReportLag: time.Hour})
	resp := b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 100))
	b.SetLeaving(true)
	require.True(t, b.Load().Leaving)
	refused := b.post(t.Context(), t, protocol.PathCompletions, "r2", newRequest("p", 1))
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.Equal(t, protocol.OutcomeNotRun, refused.Header.Get(protocol.HeaderOutcome))
	require.NotEmpty(t, refused.Header.Get(protocol.HeaderLeaving))
	require.True(t, readStream(t, resp).ended)
}

func TestLoadReportLags(t *testing.T) {
	b := start(t, engine.Options{ReportLag: time.Hour, TimeScale: 1})
	b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 100000))
	require.Zero(t, b.Load().Running)
}

func TestStreamFaults(t *testing.T) {
	b := start(t, engine.Options{})
	b.SetFault(engine.Fault{AfterTokens: 3, CutNext: 1})
	cut := readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 9)))
	require.Error(t, cut.err)
	require.False(t, cut.ended)
	require.Equal(t, engine.Text(engine.Base("m", "p", 7), 0, []protocol.Span{{Tokens: 3}}), cut.text)
	b.SetFault(engine.Fault{AfterTokens: 3, TruncateNext: 1})
	truncated := readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r2", newRequest("p", 9)))
	require.NoError(t, truncated.err)
	require.False(t, truncated.ended)
	require.Equal(t, cut.text, truncated.text)
	b.SetFault(engine.Fault{FailNext: 1, MixUpNext: 1})
	require.Equal(t, http.StatusInternalServerError, b.post(t.Context(), t, protocol.PathCompletions, "r3", newRequest("p", 1)).StatusCode)
	mixed := b.post(t.Context(), t, protocol.PathCompletions, "r4", newRequest("p", 1))
	require.NotEqual(t, "r4", mixed.Header.Get(protocol.HeaderRequestID))
}

func TestCrashMarkerCrashesEngineAndFailsAllRequests(t *testing.T) {
	b := start(t, engine.Options{TimeScale: 0.1})
	resp := b.post(t.Context(), t, protocol.PathCompletions, "concurrent", newRequest("p", 100000))
	_, err := b.tryPost(t.Context(), t, protocol.PathCompletions, "poison", newRequest("x "+engine.CrashMarker, 9))
	require.Error(t, err)
	require.Error(t, readStream(t, resp).err)
	_, err = b.tryPost(t.Context(), t, protocol.PathCompletions, "r2", newRequest("p", 1))
	require.Error(t, err)
	b.Restart()
	require.True(t, readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r3", newRequest("p", 1))).ended)
}

func TestJournalFileContainsAllRecords(t *testing.T) {
	path := t.TempDir() + "/journal"
	b := start(t, engine.Options{JournalFile: path})
	readStream(t, b.post(t.Context(), t, protocol.PathCompletions, "r1", newRequest("p", 2)))
	records, err := engine.ReadJournal(path)
	require.NoError(t, err)
	require.Len(t, records, 3)
	require.Equal(t, engine.Finished, records[2].Event)
}
