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

// instant generates at once.
type instant struct{}

func (instant) Generate(_ context.Context, req step.GenerateRequest) (step.Generation, error) {
	spans := []trainer.Span{{WeightVersion: 3, Tokens: req.MaxTokens}}
	return step.Generation{Text: req.Prompt, FinishReason: "length", Spans: spans}, nil
}

// sole is the owner of everything.
type sole struct{}

func (sole) Acquire(_ context.Context, unit string) (ownership.Tenure, error) {
	return ownership.Tenure{Unit: unit, Epoch: 1}, nil
}
func (sole) Valid(ownership.Tenure) bool           { return true }
func (sole) Release(context.Context, string) error { return nil }

// faulty serves a step behind a handler that may spoil each answer: the first
// faults answers are cut off after the call took effect.
type faulty struct {
	mu      sync.Mutex
	service *step.Service
	faults  atomic.Int64
	creates atomic.Int64
}

func newFaulty(t *testing.T, faults int64) (*faulty, string) {
	f := &faulty{service: step.NewService(step.Options{Owner: sole{}, Generator: instant{}})}
	f.faults.Store(faults)
	server := httptest.NewServer(f)
	t.Cleanup(func() {
		server.Close()
		f.restart(t)
		require.NoError(t, f.service.Drain(context.Background()))
	})
	return f, server.URL
}

// restart replaces the entry by one that knows no step.
func (f *faulty) restart(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.NoError(t, f.service.Drain(context.Background()))
	f.service = step.NewService(step.Options{Owner: sole{}, Generator: instant{}})
}

func (f *faulty) ServeHTTP(w http.ResponseWriter, req *http.Request) {
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

func collect(taken map[trainer.SampleID]int) func(trainer.Sample) error {
	return func(s trainer.Sample) error {
		taken[trainer.SampleID{Group: s.Group, Index: s.Index}]++
		return nil
	}
}

func requireWhole(t *testing.T, taken map[trainer.SampleID]int) {
	t.Helper()
	require.Len(t, taken, 8)
	for id, times := range taken {
		require.Equal(t, 1, times, "%v", id)
	}
}

func newClient(t *testing.T, url string, maxSamples int) *trainer.Client {
	httpClient := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(httpClient.CloseIdleConnections)
	return trainer.New(trainer.Options{URL: url, HTTPClient: httpClient, MaxSamples: maxSamples, Wait: time.Millisecond})
}

func TestClientTakesEachSampleOnceOverLostAnswers(t *testing.T) {
	_, url := newFaulty(t, 5)
	taken := map[trainer.SampleID]int{}
	require.NoError(t, newClient(t, url, 3).Run(t.Context(), spec, collect(taken)))
	requireWhole(t, taken)
}

func TestClientSendsTheSpecificationToANewOwner(t *testing.T) {
	f, url := newFaulty(t, 0)
	taken := map[trainer.SampleID]int{}
	take := collect(taken)
	err := newClient(t, url, 3).Run(t.Context(), spec, func(s trainer.Sample) error {
		if len(taken) == 2 {
			f.restart(t)
		}
		return take(s)
	})
	require.NoError(t, err)
	requireWhole(t, taken)
	require.EqualValues(t, 2, f.creates.Load())
}

func TestClientFailsForGoodOnAnotherSpecification(t *testing.T) {
	f, url := newFaulty(t, 0)
	client := newClient(t, url, 0)
	stop := context.Canceled
	require.ErrorIs(t, client.Run(t.Context(), spec, func(trainer.Sample) error { return stop }), stop)
	other := spec
	other.Staleness = 0
	err := client.Run(t.Context(), other, collect(map[trainer.SampleID]int{}))
	require.ErrorContains(t, err, "another specification")
	require.EqualValues(t, 2, f.creates.Load())
}

func TestClientGoesOnAboveEarlierPulls(t *testing.T) {
	_, url := newFaulty(t, 0)
	client := newClient(t, url, 3)
	stop := context.Canceled
	taken := map[trainer.SampleID]int{}
	take := collect(taken)
	var holds trainer.Holdings
	err := client.Run(t.Context(), spec, func(s trainer.Sample) error {
		if len(taken) == 5 {
			return stop
		}
		holds.Add(trainer.SampleID{Group: s.Group, Index: s.Index})
		return take(s)
	})
	require.ErrorIs(t, err, stop)
	require.NoError(t, client.Resume(t.Context(), spec, holds, take))
	requireWhole(t, taken)
}
