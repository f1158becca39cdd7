package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

var planTime = time.Unix(1_700_000_000, 0)

// modelAt returns endpoints with the given versions of model m.
func modelAt(versions ...int64) []*fleet.Endpoint {
	var endpoints []*fleet.Endpoint
	for i, version := range versions {
		endpoints = append(endpoints, &fleet.Endpoint{
			ID: fmt.Sprintf("e%d", i), Slots: 8, Versions: map[string]int64{"m": version}, Live: &fleet.Live{},
		})
	}
	return endpoints
}

func namesOf(loads []load) []string {
	var names []string
	for _, l := range loads {
		names = append(names, l.endpoint.ID)
	}
	return names
}

func TestDueLoads(t *testing.T) {
	for _, row := range []struct {
		name     string
		versions []int64
		lag      int64
		age      time.Duration
		want     []string
	}{
		{"without a lag all load", []int64{3, 3, 4}, 0, 0, []string{"e0", "e1"}},
		{"with a lag half of them load", []int64{3, 3, 3, 3}, 1, 0, []string{"e0", "e1"}},
		{"those that are too old first", []int64{3, 2, 3, 2}, 1, 0, []string{"e1", "e3"}},
		{"all that are too old", []int64{2, 2, 2, 3}, 1, 0, []string{"e0", "e1", "e2"}},
		{"enough have the version", []int64{4, 4, 3, 3}, 1, 0, nil},
		{"the others wait", []int64{4, 4, 3, 3}, 1, deferLimit - 1, nil},
		{"but not for long", []int64{4, 4, 3, 3}, 1, deferLimit, []string{"e2", "e3"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := Model{Target: 4, NamedAt: planTime, Lag: row.lag}
			due := dueLoads("m", m, modelAt(row.versions...), planTime.Add(row.age))
			require.Equal(t, row.want, namesOf(due))
		})
	}
}

// TestEnginesThatAddMostCapacityLoadFirst checks the order of engines that are equally
// due: free and fast ones first, or those without runs if runs must end first.
func TestEnginesThatAddMostCapacityLoadFirst(t *testing.T) {
	endpoints := modelAt(2, 2, 2)
	slope := fleet.NewLoadSlope()
	for i, gap := range []time.Duration{50, 37, 37} {
		endpoints[i].Live.Pace.Observe(gap*time.Millisecond, 1, slope, planTime)
	}
	for range 6 {
		endpoints[1].Live.Begin()
	}
	endpoints[2].Live.Begin()
	m := Model{Target: 4, NamedAt: planTime, Lag: 1}
	require.Equal(t, []string{"e2", "e0", "e1"}, namesOf(dueLoads("m", m, endpoints, planTime)))
	m.Finish = true
	require.Equal(t, []string{"e0", "e2", "e1"}, namesOf(dueLoads("m", m, endpoints, planTime)))
}

// usableAtOnce plays versions that are named one after the other, each after the loads of
// the previous one, and returns the smallest number of endpoints that could serve a step of
// a new version at the moment it was named, and the number of loads for each version.
func usableAtOnce(endpoints int, lag int64, due func(Model, []*fleet.Endpoint) []load) (usable int, loads float64) {
	const versions = 20
	serving := modelAt(make([]int64, endpoints)...)
	for _, e := range serving {
		e.Versions["m"] = 1
	}
	usable = endpoints
	total := 0
	for target := int64(2); target < 2+versions; target++ {
		able := 0
		for _, e := range serving {
			if e.Version("m") >= target-lag {
				able++
			}
		}
		usable = min(usable, able)
		for _, l := range due(Model{Target: target, NamedAt: planTime, Lag: lag}, serving) {
			l.endpoint.Versions["m"] = target
			total++
		}
	}
	return usable, float64(total) / versions
}

// TestHalfTheLoadsLeaveHalfTheEngines compares loads that wait with the naive way, which
// loads each version on all endpoints: half as many loads, and half of the endpoints serve
// a new step without a load.
func TestHalfTheLoadsLeaveHalfTheEngines(t *testing.T) {
	const endpoints = 9
	_, naive := usableAtOnce(endpoints, 1, func(m Model, e []*fleet.Endpoint) []load {
		m.Lag = 0
		return dueLoads("m", m, e, planTime)
	})
	usable, ours := usableAtOnce(endpoints, 1, func(m Model, e []*fleet.Endpoint) []load { return dueLoads("m", m, e, planTime) })
	require.InDelta(t, endpoints, naive, 0.01)
	require.LessOrEqual(t, ours, 0.6*naive)
	require.GreaterOrEqual(t, usable, endpoints/2)
}

// TestLagIsTakenFromSteps checks that the lag of a model is what its last two steps allowed.
func TestLagIsTakenFromSteps(t *testing.T) {
	s := &modelState{}
	require.EqualValues(t, maxLag, s.lag(), "until a step is seen")
	s.observe(3, 3, true, planTime)
	require.EqualValues(t, 0, s.lag())
	s.observe(4, 3, true, planTime)
	require.EqualValues(t, 0, s.lag(), "the step is not a new one")
	s.observe(5, 4, true, planTime)
	require.EqualValues(t, 1, s.lag())
	s.observe(6, 6, true, planTime)
	require.EqualValues(t, 1, s.lag(), "the step may have been seen before the version")
	s.observe(7, 7, true, planTime)
	require.EqualValues(t, 0, s.lag())
}
