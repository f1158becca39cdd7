package trainer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/trainer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var spec = trainer.Spec{
	Trainer: "t", Step: 7, Model: "m", Class: "c", WeightVersion: 3, Staleness: 1,
	Groups: []trainer.Group{{Prompt: "a", Size: 4, MaxTokens: 4}, {Prompt: "b", Size: 4, MaxTokens: 4}},
}

// instantGenerator returns each generation without delay.
type instantGenerator struct{}

func (instantGenerator) Generate(_ context.Context, req step.GenerateRequest) (step.Generation, error) {
	spans := []trainer.Span{{WeightVersion: 3, Tokens: req.MaxTokens}}
	return step.Generation{Text: req.Prompt, FinishReason: "length", Spans: spans}, nil
}

// soleOwner owns every unit.
type soleOwner struct{}

func (soleOwner) Acquire(_ context.Context, unit string) (ownership.Tenure, error) {
	return ownership.Tenure{Unit: unit, Epoch: 1}, nil
}
func (soleOwner) Valid(ownership.Tenure) bool           { return true }
func (soleOwner) Release(context.Context, string) error { return nil }

// faultyServer serves steps. It processes the first calls, as many as faults says, but
// aborts their connections instead of sending the responses.
type faultyServer struct {
	mu      sync.Mutex
	service *step.Service
	faults  atomic.Int64
	creates atomic.Int64
}

func newFaultyServer(t *testing.T, faults int64) (*faultyServer, string) {
	f := &faultyServer{service: step.NewService(step.Options{Owner: soleOwner{}, Generator: instantGenerator{}})}
	f.faults.Store(faults)
	server := httptest.NewServer(f)
	t.Cleanup(func() {
		server.Close()
		f.restart(t)
		require.NoError(t, f.service.Drain(context.Background()))
	})
	return f, server.URL
}

// restart replaces the service with a new one without steps.
func (f *faultyServer) restart(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.NoError(t, f.service.Drain(context.Background()))
	f.service = step.NewService(step.Options{Owner: soleOwner{}, Generator: instantGenerator{}})
}

func (f *faultyServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f.mu.Lock()
	service := f.service
	f.mu.Unlock()
	if req.URL.Path == "/v1/steps" {
		f.creates.Add(1)
	}
	router := step.NewRouter(step.RouterOptions{
		Service: service, Self: "e", Rank: ownership.Rank,
		Peers: func() []control.Peer { return []control.Peer{{ID: "e"}} },
	})
	if f.faults.Add(-1) < 0 {
		router.ServeHTTP(w, req)
		return
	}
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, req)
	panic(http.ErrAbortHandler)
}

func collect(received map[trainer.SampleID]int) func(trainer.Sample) error {
	return func(s trainer.Sample) error {
		received[trainer.SampleID{Group: s.Group, Index: s.Index}]++
		return nil
	}
}

func requireEachSampleOnce(t *testing.T, received map[trainer.SampleID]int) {
	t.Helper()
	require.Len(t, received, 8)
	for id, times := range received {
		require.Equal(t, 1, times, "%v", id)
	}
}

func newClient(t *testing.T, url string, maxSamples int) *trainer.Client {
	httpClient := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(httpClient.CloseIdleConnections)
	return trainer.New(trainer.Options{URL: url, HTTPClient: httpClient, MaxSamples: maxSamples, Wait: time.Millisecond})
}

func TestClientDeliversEachSampleOnceDespiteLostResponses(t *testing.T) {
	_, url := newFaultyServer(t, 5)
	received := map[trainer.SampleID]int{}
	require.NoError(t, newClient(t, url, 3).Run(t.Context(), spec, collect(received)))
	requireEachSampleOnce(t, received)
}

func TestClientSendsTheSpecificationToANewOwner(t *testing.T) {
	f, url := newFaultyServer(t, 0)
	received := map[trainer.SampleID]int{}
	handle := collect(received)
	err := newClient(t, url, 3).Run(t.Context(), spec, func(s trainer.Sample) error {
		if len(received) == 2 {
			f.restart(t)
		}
		return handle(s)
	})
	require.NoError(t, err)
	requireEachSampleOnce(t, received)
	require.EqualValues(t, 2, f.creates.Load())
}

func TestClientFailsPermanentlyOnConflictingSpecification(t *testing.T) {
	f, url := newFaultyServer(t, 0)
	client := newClient(t, url, 0)
	errStop := context.Canceled
	require.ErrorIs(t, client.Run(t.Context(), spec, func(trainer.Sample) error { return errStop }), errStop)
	other := spec
	other.Staleness = 0
	err := client.Run(t.Context(), other, collect(map[trainer.SampleID]int{}))
	require.ErrorContains(t, err, "another specification")
	require.EqualValues(t, 2, f.creates.Load())
}

func TestResumeUsesPullNumbersAboveEarlierOnes(t *testing.T) {
	_, url := newFaultyServer(t, 0)
	client := newClient(t, url, 3)
	errStop := context.Canceled
	received := map[trainer.SampleID]int{}
	handle := collect(received)
	var holds trainer.Holdings
	err := client.Run(t.Context(), spec, func(s trainer.Sample) error {
		if len(received) == 5 {
			return errStop
		}
		holds.Add(trainer.SampleID{Group: s.Group, Index: s.Index})
		return handle(s)
	})
	require.ErrorIs(t, err, errStop)
	require.NoError(t, client.Resume(t.Context(), spec, holds, handle))
	requireEachSampleOnce(t, received)
}
