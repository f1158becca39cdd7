package weights

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// TestAssignmentsAreBalancedAndStable checks that each endpoint is assigned to one
// model, that the numbers per model differ by at most one, and that remaining endpoints
// are moved only to rebalance.
func TestAssignmentsAreBalancedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h assignments
		models := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]
		var before map[string]string
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			var live []*fleet.Endpoint
			for _, id := range rapid.SliceOfNDistinct(rapid.IntRange(0, 14), 1, 12, rapid.ID).Draw(t, "ids") {
				live = append(live, &fleet.Endpoint{ID: fmt.Sprint(id), Live: &fleet.Live{}})
			}
			byModel := h.assign(live, models, nil, planTime)
			total, least, most := 0, len(live), 0
			for _, model := range models {
				n := len(byModel[model])
				total, least, most = total+n, min(least, n), max(most, n)
			}
			if total != len(live) || most-least > 1 {
				t.Fatalf("%d endpoints have assignments %v", len(live), byModel)
			}
			moved := 0
			for id, model := range h.model {
				if previous, ok := before[id]; ok && previous != model {
					moved++
				}
			}
			if moved > len(live)/2+1 {
				t.Fatalf("%d of %d assignments moved", moved, len(live))
			}
			before = map[string]string{}
			for id, model := range h.model {
				before[id] = model
			}
		}
	})
}

// TestFastEndpointsAreSharedAlike checks that no model gets all the slow endpoints.
func TestFastEndpointsAreSharedAlike(t *testing.T) {
	var endpoints []*fleet.Endpoint
	slope := fleet.NewLoadSlope()
	for i := range 9 {
		e := &fleet.Endpoint{ID: fmt.Sprint(i), Live: &fleet.Live{}}
		gap := 37 * time.Millisecond
		if i >= 6 {
			gap = 48 * time.Millisecond
		}
		e.Live.Pace.Observe(gap, 1, slope, planTime)
		endpoints = append(endpoints, e)
	}
	var h assignments
	for model, assigned := range h.assign(endpoints, []string{"a", "b"}, nil, planTime) {
		slow := 0
		for _, e := range assigned {
			if e.ID >= "6" {
				slow++
			}
		}
		require.Contains(t, []int{1, 2}, slow, "slow endpoints of model %s", model)
	}
}

// TestEndpointsFollowDemand checks that models get endpoints in proportion to what their
// steps ask for, but never less than half of an equal share, and that small changes move
// none.
func TestEndpointsFollowDemand(t *testing.T) {
	var endpoints []*fleet.Endpoint
	for i := range 24 {
		endpoints = append(endpoints, &fleet.Endpoint{ID: fmt.Sprintf("%02d", i), Live: &fleet.Live{}})
	}
	models := []string{"a", "b"}
	var h assignments
	counts := func(demand map[string]float64) [2]int {
		byModel := h.assign(endpoints, models, demand, planTime)
		return [2]int{len(byModel["a"]), len(byModel["b"])}
	}
	require.Equal(t, [2]int{12, 12}, counts(nil))
	require.Equal(t, [2]int{12, 12}, counts(map[string]float64{"a": 100}), "b is not known")
	require.Equal(t, [2]int{8, 16}, counts(map[string]float64{"a": 100, "b": 200}))
	before := maps.Clone(h.model)
	require.Equal(t, [2]int{8, 16}, counts(map[string]float64{"a": 110, "b": 190}))
	require.Equal(t, before, h.model)
	require.Equal(t, [2]int{5, 19}, counts(map[string]float64{"a": 1, "b": 200}), "half of an equal share beside 1.99")
	var few assignments
	byModel := few.assign(endpoints[:2], models, map[string]float64{"a": 1, "b": 200}, planTime)
	require.Len(t, byModel["a"], 1)
	require.Len(t, byModel["b"], 1)
}

// TestNewOwnerKeepsAssignments checks that a new owner, which knows no pace, assigns each
// endpoint to the model that the previous owner loaded on it.
func TestNewOwnerKeepsAssignments(t *testing.T) {
	targets := map[string]int64{"a": 9, "b": 4}
	var endpoints []*fleet.Endpoint
	want := map[string]string{}
	for i, model := range []string{"a", "a", "b", "b", "a", "b", "a", "b", "a"} {
		e := &fleet.Endpoint{ID: fmt.Sprint(i), Versions: map[string]int64{"a": 1, "b": 1}, Live: &fleet.Live{}}
		e.Versions[model] = targets[model] - int64(i%2)
		endpoints = append(endpoints, e)
		want[e.ID] = model
	}
	var h assignments
	h.assign(endpoints, []string{"a", "b"}, nil, planTime)
	require.Equal(t, want, h.model)
}

// fakeEngines simulates endpoints that carry out orders.
type fakeEngines struct {
	mu         sync.Mutex
	state      map[string]*engineState
	loading    int
	maxLoading int
	// unanswered is the number of orders that get no response and are applied later.
	unanswered   int
	late         []func()
	fencedOrders int
}

type engineState struct {
	version, accepted, fence int64
	busy                     bool
}

func (s *fakeEngines) apply(e *fleet.Endpoint, order Order) Verdict {
	st := s.state[e.ID]
	switch {
	case order.Epoch < st.fence:
		s.fencedOrders++
		return Fenced
	case st.version == order.Version:
		return AlreadyLoaded
	case st.busy || order.Accepted != st.accepted:
		return Busy
	}
	st.fence = order.Epoch
	st.accepted++
	st.busy = true
	s.loading++
	s.maxLoading = max(s.maxLoading, s.loading)
	time.AfterFunc(2*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		st.version, st.busy = order.Version, false
		s.loading--
	})
	return Accepted
}

func (s *fakeEngines) Order(_ context.Context, e *fleet.Endpoint, order Order) (Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unanswered > 0 {
		s.unanswered--
		s.late = append(s.late, func() { s.apply(e, order) })
		return Unknown, call.ErrBroken.New("no answer")
	}
	return s.apply(e, order), nil
}

func (s *fakeEngines) Report(_ context.Context, e *fleet.Endpoint) (Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state[e.ID]
	return Report{Busy: st.busy, Accepted: st.accepted, Versions: map[string]int64{"m": st.version}}, nil
}

func (s *fakeEngines) versions() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sorted []int64
	for _, st := range s.state {
		sorted = append(sorted, st.version)
	}
	slices.Sort(sorted)
	return sorted
}

func newFixture(t *testing.T, n int, epoch int64) (*fakeEngines, *Manager, *Targets) {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	directory := fleet.NewDirectory(logger)
	s := &fakeEngines{state: map[string]*engineState{}}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		s.state[id] = &engineState{version: 1}
		directory.Set(&fleet.Endpoint{ID: id, Service: "s", Versions: map[string]int64{"m": 1}})
	}
	directory.Publish()
	targets := &Targets{}
	m := NewManager(Options{
		Service: "s", Directory: directory, Engines: s, Targets: targets,
		Models: func() []string { return []string{"m"} }, MinVersion: func(string) (int64, bool) { return 0, false }, Demand: func(string) float64 { return 0 }, Mode: func(string) Mode { return Continue },
		Confirmed: func() bool { return true }, Changed: func() {}, Holder: "node", Epoch: epoch, Logger: logger,
	})
	return s, m, targets
}

func run(t *testing.T, m *Manager) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

const testTimeout = 30 * time.Second

// TestAllEndpointsReachTheTargetVersion checks that every endpoint is loaded, and that
// the limit of parallel loads is kept.
func TestAllEndpointsReachTheTargetVersion(t *testing.T) {
	s, m, targets := newFixture(t, 9, 5)
	targets.Raise("m", 2)
	run(t, m)
	require.Eventually(t, func() bool { return s.versions()[0] == 2 }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, s.maxLoading, maxParallelLoads(9))
}

// TestReconcileDuringReports checks, with the race detector, that planning and the answers
// of endpoints that load share their state under the manager's lock.
func TestReconcileDuringReports(t *testing.T) {
	const endpoints, rounds = 40, 50
	_, m, _ := newFixture(t, endpoints, 5)
	for round := range rounds {
		m.mu.Lock()
		for i := range endpoints {
			// An idle endpoint without the version did not carry out the order: its report ends
			// the load.
			m.states[fmt.Sprintf("e%d", i)] = &orderState{loading: &Order{Model: "m", Version: 2}}
		}
		m.mu.Unlock()
		m.reconcile(context.Background(), time.Now().Add(time.Duration(round)*time.Minute))
	}
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, state := range m.states {
			if state.callInFlight {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

// TestLateOrderIsRefused checks that an order without a response that arrives after a
// newer one is refused, because the count of accepted orders differs.
func TestLateOrderIsRefused(t *testing.T) {
	s, m, targets := newFixture(t, 1, 5)
	s.unanswered = 1
	targets.Raise("m", 2)
	run(t, m)
	require.Eventually(t, func() bool { return s.versions()[0] == 2 }, testTimeout, time.Millisecond)
	targets.Raise("m", 3)
	require.Eventually(t, func() bool { return s.versions()[0] == 3 }, testTimeout, time.Millisecond)
	s.mu.Lock()
	for _, late := range s.late {
		late()
	}
	s.mu.Unlock()
	require.Equal(t, []int64{3}, s.versions())
}

// TestFencedOwnerStops checks that an owner whose order was refused because of a higher
// epoch sends no more orders to that endpoint.
func TestFencedOwnerStops(t *testing.T) {
	s, m, targets := newFixture(t, 1, 5)
	s.state["e0"].fence = 9
	targets.Raise("m", 2)
	m.reconcile(context.Background(), time.Now())
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.fencedOrders == 1 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.states["e0"].fenced }, testTimeout, time.Millisecond)
	for range 20 {
		m.reconcile(context.Background(), time.Now().Add(time.Minute))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 1, s.fencedOrders)
}

// TestEndpointThatIsBusyCountsAsLoading guards against texts that a new owner places on an
// endpoint which still carries out the previous owner's order: they go on under the version
// that it loads.
func TestEndpointThatIsBusyCountsAsLoading(t *testing.T) {
	s, m, targets := newFixture(t, 1, 5)
	s.state["e0"].busy = true
	targets.Raise("m", 2)
	now := time.Now()
	m.reconcile(context.Background(), now)
	idle := func() bool { m.mu.Lock(); defer m.mu.Unlock(); return !m.states["e0"].callInFlight }
	require.Eventually(t, idle, testTimeout, time.Millisecond)
	e, known := m.options.Directory.Find("e0")
	require.True(t, known)
	require.True(t, e.Live.IsLoading("m", now.Add(reportInterval)), "until the next report")

	order := Order{Model: "m", Version: 2}
	e.Live.LoadingEnded()
	m.handleVerdict(context.Background(), e, m.states["e0"], order, Busy, nil)
	require.True(t, e.Live.IsLoading("m", time.Now()), "another order may be in progress")

	s.mu.Lock()
	s.state["e0"].busy = false
	s.mu.Unlock()
	run(t, m)
	require.Eventually(t, func() bool { return s.versions()[0] == 2 }, testTimeout, time.Millisecond)
}

func TestTargetsOnlyIncrease(t *testing.T) {
	var targets Targets
	require.True(t, targets.Raise("m", 3))
	require.False(t, targets.Raise("m", 2))
	require.False(t, targets.Raise("m", 3))
	require.EqualValues(t, 3, targets.Of("m"))
	require.Zero(t, targets.Of("other"))
}

func TestMaxParallelLoads(t *testing.T) {
	for _, row := range []struct{ endpoints, want int }{{1, 1}, {4, 1}, {9, 2}, {35, 7}, {38, 8}} {
		require.Equal(t, row.want, maxParallelLoads(row.endpoints), "%d endpoints", row.endpoints)
	}
}
