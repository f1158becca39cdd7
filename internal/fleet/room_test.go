package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// observe makes an endpoint's requests take the given multiple of the usual time, and
// returns the time of the last one.
func observe(e *Endpoint, multiple float64, now time.Time) time.Time {
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		e.Live.Estimate.Observe(multiple, 1, e.SlotCount(), now)
	}
	return now
}

// formerCost is the cost that decided before endpoints were observed.
func formerCost(e *Endpoint, work Work, now time.Time) float64 {
	n, slots := float64(e.Live.TotalInFlight(now)), float64(e.SlotCount())
	cost := (1 + n/slots + max(n-slots+1, 0)) * float64(e.Live.loadPercent(now)) / 100
	if e.Zone != work.Zone {
		cost += crossZoneCost
	}
	return cost
}

// TestEqualEndpointsAreChosenAsBefore checks that the cost of an endpoint whose requests take
// about the usual time is what its load and its report alone give.
func TestEqualEndpointsAreChosenAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := endpointOf("e", rapid.IntRange(0, 24).Draw(t, "slots"))
		e.Zone = rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")
		now := baseTime
		for range rapid.IntRange(0, 100).Draw(t, "observed") {
			now = now.Add(50 * time.Millisecond)
			inFlight := rapid.IntRange(1, e.SlotCount()).Draw(t, "inFlight")
			e.Live.Estimate.Observe(rapid.Float64Range(0.95, 1.05).Draw(t, "multiple"), float64(inFlight), e.SlotCount(), now)
		}
		running := rapid.IntRange(0, 2*e.SlotCount()).Draw(t, "running")
		e.Live.Report(Load{Running: running, Percent: rapid.SampledFrom([]int{0, 90, 100, 120, 300}).Draw(t, "percent")}, now)
		if got, want := waitCost(e, Work{Zone: "z"}, now), formerCost(e, Work{Zone: "z"}, now); got != want {
			t.Fatalf("cost %v, formerly %v", got, want)
		}
	})
}

// TestSlowEndpointIsTriedOnlyByWorkWithSlack checks that an endpoint believed to be slow gets
// one request to try it, of those that can afford it.
func TestSlowEndpointIsTriedOnlyByWorkWithSlack(t *testing.T) {
	slow, usual := endpointOf("slow", 4), endpointOf("usual", 4)
	now := observe(slow, 5, observe(slow, 1, baseTime))
	observe(usual, 1, baseTime)
	now = now.Add(3 * time.Second)
	endpoints := []*Endpoint{slow, usual}
	chosen := func(work Work) string {
		e, ok := Choose(endpoints, work, now)
		require.True(t, ok)
		return e.ID
	}
	require.Equal(t, "usual", chosen(Work{Zone: "z"}))
	require.Equal(t, "slow", chosen(Work{Zone: "z", MayProbe: true}))
	require.Equal(t, "usual", chosen(Work{Zone: "z", MayProbe: true}), "one request is enough")
	slow.Live.MarkFull(now.Add(5 * time.Second))
	now = now.Add(3 * time.Second)
	require.Equal(t, "usual", chosen(Work{Zone: "z", MayProbe: true}), "it refuses work")
}

// TestRoomIsWhatLimitsLeave checks that room counts limits, the load of all callers, and only
// endpoints that take work.
func TestRoomIsWhatLimitsLeave(t *testing.T) {
	now := baseTime
	d := newDirectory(&now)
	for _, id := range []string{"limited", "busy", "draining", "failed"} {
		d.Set(endpointOf(id, 24))
	}
	draining := endpointOf("draining", 24)
	draining.Draining = true
	d.Set(draining)
	d.Publish()
	find := func(id string) *Endpoint { e, _ := d.Find(id); return e }
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		inFlight := float64(1 + i%24)
		find("limited").Live.Estimate.Observe(max(inFlight/8, 1), inFlight, 24, now)
	}
	find("busy").Live.Report(Load{Running: 20, Waiting: 1, Slots: 24}, now)
	find("failed").Live.Fail(now)
	require.Equal(t, 10+3, d.Room("s"))
	require.Zero(t, d.Room("another"))
}
