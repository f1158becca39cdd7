package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/route"
)

// lateFixture returns a service of endpoints e0 and e1 whose requests usually take 20 ms, and
// a function that makes an endpoint take a multiple of that.
func lateFixture() (*Service, func(id string, multiple float64) *fleet.Endpoint) {
	s := serviceOf(&fakeCaller{}, 2)
	now := time.Now()
	for i := range 20 {
		s.Usual.Observe((&requestRun{route: routeOf(route.Idempotent, 2)}).kind("s"), 20*time.Millisecond, now.Add(time.Duration(i)*time.Millisecond))
	}
	return s, func(id string, multiple float64) *fleet.Endpoint {
		e, _ := s.Directory.Find(id)
		for range 20 {
			e.Live.Estimate.Observe(multiple, 1, e.SlotCount(), now)
		}
		return e
	}
}

// runOf returns a run of a request with a target of 200 ms; first is its first endpoint, or nil if it
// has not been sent.
func runOf(s *Service, r *route.Route, first *fleet.Endpoint) *requestRun {
	r.Target = 200 * time.Millisecond
	x := &requestRun{service: s, route: r, request: &call.Request{ID: "x"}, first: first}
	if first != nil {
		x.tried = []string{first.ID}
	}
	return x
}

// TestRequestExpectedLateIsHedgedSooner checks that only a request that may run twice is
// hedged sooner, and only if another endpoint is expected to meet the target.
func TestRequestExpectedLateIsHedgedSooner(t *testing.T) {
	const regular, usual = 90 * time.Millisecond, 20 * time.Millisecond
	s, observe := lateFixture()
	e0, e1 := observe("e0", 15), observe("e1", 1)
	require.InDelta(t, lateHedge*float64(usual), runOf(s, routeOf(route.Idempotent, 2), e0).hedgeAfter(), float64(time.Millisecond))
	require.Equal(t, regular, runOf(s, routeOf(route.Idempotent, 2), e1).hedgeAfter())
	require.Equal(t, regular, runOf(s, routeOf(route.Idempotent, 1), e0).hedgeAfter(), "one attempt")
	require.Equal(t, regular, runOf(s, routeOf(route.NonIdempotent, 2), e0).hedgeAfter())
	observe("e1", 15)
	require.Equal(t, regular, runOf(s, routeOf(route.Idempotent, 2), e0).hedgeAfter(), "the other one is as slow")
}

// TestOnlyRequestsWithSlackProbe checks which requests may try a slow endpoint.
func TestOnlyRequestsWithSlackProbe(t *testing.T) {
	s, _ := lateFixture()
	require.True(t, runOf(s, routeOf(route.Idempotent, 2), nil).work("s").MayProbe)
	require.False(t, runOf(s, routeOf(route.NonIdempotent, 2), nil).work("s").MayProbe)
	require.False(t, runOf(s, routeOf(route.Idempotent, 1), nil).work("s").MayProbe)
	require.False(t, runOf(s, routeOf(route.Idempotent, 2), nil).work("unknown").MayProbe)
	x := runOf(s, routeOf(route.Idempotent, 2), nil)
	x.route.Target = 60 * time.Millisecond
	require.False(t, x.work("s").MayProbe, "no time for a second attempt")
}
