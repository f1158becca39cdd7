package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

func TestHardFilters(t *testing.T) {
	cases := map[string]struct {
		change func(e *endpoint.Endpoint)
		work   Work
		want   bool
	}{
		"ready":           {want: true},
		"leaving":         {change: func(e *endpoint.Endpoint) { e.Leaving = true }},
		"unready":         {change: func(e *endpoint.Endpoint) { e.Unready = true }},
		"reported leave":  {change: func(e *endpoint.Endpoint) { e.Live.LastLeaveReport.Store(1) }},
		"version reached": {work: Work{MinVersion: 3}, want: true},
		"version too low": {work: Work{MinVersion: 4}},
		"tried":           {work: Work{Excluded: []string{"engine-00000"}}},
		"exclusive, idle": {work: Work{Exclusive: true}, want: true},
		"exclusive, busy": {change: func(e *endpoint.Endpoint) { e.Live.InFlight.Store(1) }, work: Work{Exclusive: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoints := fleet(1)
			if c.change != nil {
				c.change(endpoints[0])
			}
			_, ok := chooser().Pick(endpoints, &c.work, testNow, seeded(1))
			require.Equal(t, c.want, ok)
		})
	}
}

func TestPickReturnsOnlyEligibleEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := fleet(rapid.IntRange(1, 60).Draw(t, "n"))
		eligible := 0
		work := &Work{ExpectedTokens: 10, MinVersion: 2, Prefix: rapid.Uint64().Draw(t, "prefix")}
		for _, e := range endpoints {
			e.Leaving = rapid.Bool().Draw(t, "leaving")
			e.ActiveVersion = rapid.Int64Range(0, 3).Draw(t, "version")
			e.Demotion = rapid.Float64Range(0, 1).Draw(t, "demotion")
			e.Live.Failures.Store(rapid.Int64Range(0, 100).Draw(t, "failures"))
			if isEligible(e, work) {
				eligible++
			}
		}
		picked, ok := chooser().Pick(endpoints, work, testNow, seeded(rapid.Uint64().Draw(t, "seed")))
		if ok != (eligible > 0) {
			t.Fatalf("picked %v with %d eligible", ok, eligible)
		}
		if ok && !isEligible(picked, work) {
			t.Fatalf("picked %s, which is not eligible", picked.ID)
		}
	})
}

func TestPickPrefersTheEarlierCompletion(t *testing.T) {
	cases := map[string]struct {
		change func(first, second *endpoint.Endpoint)
		work   Work
		want   int
	}{
		"less loaded":           {change: func(first, _ *endpoint.Endpoint) { setReportedLoad(first, 4) }, want: 1},
		"less loaded by report": {change: func(first, _ *endpoint.Endpoint) { first.Running = 4 }, want: 1},
		"less loaded by own requests": {change: func(first, second *endpoint.Endpoint) {
			first.Live.InFlight.Store(3)
			second.Running = 2
		}, want: 1},
		"own requests ended since the report": {change: func(first, second *endpoint.Endpoint) {
			first.Running, first.OwnInFlight = 5, 5
			second.Running = 1
		}, want: 0},
		"faster": {change: func(first, second *endpoint.Endpoint) {
			first.Live.TokenNanos.Store(2e6)
			second.Live.TokenNanos.Store(1e6)
		}, want: 1},
		"same failure domain, equal load": {change: func(_, second *endpoint.Endpoint) { second.FailureDomain = "domain-1" }, want: 0},
		"other failure domain, local endpoint full": {change: func(first, second *endpoint.Endpoint) {
			first.Running = 40
			second.FailureDomain = "domain-1"
		}, want: 1},
		"batch work does not use the reserve": {change: func(first, second *endpoint.Endpoint) {
			setReportedLoad(first, 7)
			setReportedLoad(second, 6)
			second.Live.TokenNanos.Store(1100000)
		}, want: 1},
		"interactive work uses the reserve": {change: func(first, second *endpoint.Endpoint) {
			setReportedLoad(first, 7)
			setReportedLoad(second, 6)
			second.Live.TokenNanos.Store(1100000)
		}, work: Work{Interactive: true}, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoints := fleet(2)
			endpoints[1].FailureDomain = "domain-0"
			c.change(endpoints[0], endpoints[1])
			c.work.ExpectedTokens = 100
			picked, ok := chooser().Pick(endpoints, &c.work, testNow, seeded(1))
			require.True(t, ok)
			require.Equal(t, endpoints[c.want].ID, picked.ID)
		})
	}
}

func TestDemotedEndpointKeepsProbeTraffic(t *testing.T) {
	endpoints := fleet(2)
	endpoints[1].FailureDomain = "domain-0"
	endpoints[0].Demotion = 0.9
	endpoints[1].Running = 7
	random := seeded(1)
	picks := 0
	for range 1000 {
		e, _ := chooser().Pick(endpoints, &Work{ExpectedTokens: 10}, testNow, random)
		if e == endpoints[0] {
			picks++
		}
	}
	require.InDelta(t, 100, picks, 40)
}

func TestPrefixAffinityWithinCostBound(t *testing.T) {
	endpoints := fleet(60)
	random := seeded(1)
	seen := map[string]int{}
	for range 200 {
		e, _ := chooser().Pick(endpoints, &Work{ExpectedTokens: 1000, Prefix: 77}, testNow, random)
		seen[e.ID]++
	}
	require.LessOrEqual(t, len(seen), prefixHomes)
	for k := range prefixHomes {
		setReportedLoad(endpoints[prefixHome(77, k, 60)], 8)
	}
	for range 200 {
		e, _ := chooser().Pick(endpoints, &Work{ExpectedTokens: 1000, Prefix: 77}, testNow, random)
		require.NotContains(t, seen, e.ID)
	}
}

func TestPrefixHomeMovesFewPrefixes(t *testing.T) {
	moved := 0
	for prefix := range uint64(1000) {
		if prefixHome(prefix*0x9e3779b97f4a7c15, 0, 100) != prefixHome(prefix*0x9e3779b97f4a7c15, 0, 101) {
			moved++
		}
	}
	require.Less(t, moved, 40)
}
