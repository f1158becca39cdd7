package naive_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/policy/adaptive"
	"github.com/comfreyfront/comfreyfront/internal/policy/naive"
)

var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func fleet(n int) []*endpoint.Endpoint {
	endpoints := make([]*endpoint.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = &endpoint.Endpoint{ID: fmt.Sprint(i), Slots: 8, ActiveVersion: 1, Live: &endpoint.Live{}}
	}
	return endpoints
}

// policies returns the naive and the adaptive policy, configured for the endpoints.
func policies(endpoints []*endpoint.Endpoint) []policy.Policy {
	adaptivePolicy, workQueue := adaptive.New(adaptive.Options{Clock: func() time.Time { return now }})
	classes := &class.Document{Classes: []class.Class{{Name: "lookup", Lateness: time.Second, Completeness: 0.99}}}
	workQueue.Refresh(classes, map[string][]*endpoint.Endpoint{"drafting": endpoints}, 1)
	return []policy.Policy{naive.New(), adaptivePolicy}
}

// With idle and otherwise equal endpoints, both policies admit all work, spread it evenly,
// and avoid the same ineligible endpoints.
func TestPoliciesSpreadLoadOverIdleEndpoints(t *testing.T) {
	for seed := range uint64(5) {
		endpoints := fleet(9)
		endpoints[3].Leaving = true
		endpoints[4].Unready = true
		endpoints[5].ActiveVersion = 0
		for _, p := range policies(endpoints) {
			random := rand.New(rand.NewPCG(seed, 1))
			picks := map[string]int{}
			for range 42 {
				work := &policy.Work{Class: "lookup", Model: "drafting", ExpectedTokens: 10, MinVersion: 1, Interactive: true, Deadline: now.Add(time.Second)}
				leave, err := p.Admission.Enter(context.Background(), work)
				require.NoError(t, err)
				e, ok := p.Picker.Pick(endpoints, work, now, random)
				require.True(t, ok)
				e.Live.InFlight.Add(1)
				picks[e.ID]++
				defer leave()
			}
			require.Len(t, picks, 6, p.Name)
			for id, n := range picks {
				require.Equal(t, 7, n, "%s endpoint %s", p.Name, id)
			}
			for _, e := range endpoints {
				e.Live.InFlight.Store(0)
			}
		}
	}
}

func TestPoliciesRejectIneligibleEndpoints(t *testing.T) {
	endpoints := fleet(2)
	endpoints[0].Leaving = true
	for _, p := range policies(endpoints) {
		_, ok := p.Picker.Pick(endpoints, &policy.Work{Excluded: []string{"1"}}, now, rand.New(rand.NewPCG(1, 1)))
		require.False(t, ok, p.Name)
	}
}

func TestPoliciesAllowOneRetry(t *testing.T) {
	for _, p := range policies(fleet(1)) {
		p.Retrier.RecordRequest()
		require.True(t, p.Retrier.Allow(&policy.Work{}, 1), p.Name)
	}
	require.False(t, naive.RetryOnce{}.Allow(&policy.Work{}, 2))
}
