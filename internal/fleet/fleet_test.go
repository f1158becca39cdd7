package fleet

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var baseTime = time.Unix(1_700_000_000, 0)

func endpointOf(id string, slots int) *Endpoint {
	return &Endpoint{ID: id, Service: "s", Zone: "z", Slots: slots, Live: &Live{}}
}

func TestChooseAvoidsFailingEndpoints(t *testing.T) {
	free, busy, failed, full, draining := endpointOf("free", 4), endpointOf("busy", 4), endpointOf("failed", 4), endpointOf("full", 4), endpointOf("draining", 4)
	for range 3 {
		busy.Live.Begin()
	}
	failed.Live.Fail(baseTime)
	full.Live.MarkFull(baseTime.Add(time.Second))
	draining.Draining = true
	endpoints := []*Endpoint{draining, full, failed, busy, free}
	var tried []string
	for _, want := range []string{"free", "busy", "full", "failed"} {
		chosen, ok := Choose(endpoints, Work{Tried: tried, Zone: "z"}, baseTime)
		require.True(t, ok)
		require.Equal(t, want, chosen.ID)
		tried = append(tried, chosen.ID)
	}
	_, ok := Choose(endpoints, Work{Tried: tried}, baseTime)
	require.False(t, ok, "a draining endpoint gets no new work")
}

func TestChooseWeighsSlownessAndZone(t *testing.T) {
	slow, far, near := endpointOf("slow", 4), endpointOf("far", 4), endpointOf("near", 4)
	slow.Live.Report(Load{Slots: 4, Percent: 250}, baseTime)
	far.Zone = "elsewhere"
	chosen, _ := Choose([]*Endpoint{slow, far, near}, Work{Zone: "z"}, baseTime)
	require.Equal(t, "near", chosen.ID)
	chosen, _ = Choose([]*Endpoint{slow, far}, Work{Zone: "z"}, baseTime)
	require.Equal(t, "far", chosen.ID)
	chosen, _ = Choose([]*Endpoint{slow, far}, Work{Zone: "z"}, baseTime.Add(2*maxLoadAge))
	require.Equal(t, "slow", chosen.ID, "an old load report is ignored")
}

func TestChooseCountsLoadOfOtherCallers(t *testing.T) {
	busy, idle := endpointOf("busy", 4), endpointOf("idle", 4)
	busy.Live.Report(Load{Running: 3, Waiting: 2, Slots: 4}, baseTime)
	chosen, _ := Choose([]*Endpoint{busy, idle}, Work{Zone: "z"}, baseTime)
	require.Equal(t, "idle", chosen.ID)
}

func TestAvoidanceGrowsWithFailuresAndEndsOnSuccess(t *testing.T) {
	var l Live
	l.Fail(baseTime)
	require.True(t, l.Avoided(baseTime.Add(minAvoid-1)))
	require.False(t, l.Avoided(baseTime.Add(minAvoid)))
	for range 10 {
		l.Fail(baseTime)
	}
	require.True(t, l.Avoided(baseTime.Add(maxAvoid-1)))
	require.False(t, l.Avoided(baseTime.Add(maxAvoid)))
	l.Succeed()
	require.False(t, l.Avoided(baseTime))
}

func newDirectory(now *time.Time) *Directory {
	d := NewDirectory(slog.New(slog.DiscardHandler))
	d.now = func() time.Time { return *now }
	return d
}

func TestEndpointsMayReturnAfterStoreOutage(t *testing.T) {
	now := baseTime
	d := newDirectory(&now)
	d.Set(endpointOf("back", 1))
	d.Set(endpointOf("gone", 1))
	d.Publish()
	d.StoreLost()
	d.Remove("back")
	d.Remove("gone")
	d.Publish()
	require.Len(t, d.Of("s"), 2, "endpoints are kept while the store is down")
	d.StoreRegained()
	now = now.Add(time.Second)
	d.Set(endpointOf("back", 1))
	d.Expire()
	require.Equal(t, 2, d.Len())
	now = now.Add(returnGrace)
	d.Expire()
	_, ok := d.Find("gone")
	require.False(t, ok)
	_, ok = d.Find("back")
	require.True(t, ok)
	d.Remove("back")
	d.Publish()
	require.Zero(t, d.Len(), "without an outage a removed endpoint is dropped at once")
}

func TestLiveIsKeptUntilEndpointRestarts(t *testing.T) {
	now := baseTime
	d := newDirectory(&now)
	first := endpointOf("e", 1)
	first.Born = 1
	d.Set(first)
	first.Live.ObserveVersion("m", 7)
	second := &Endpoint{ID: "e", Service: "s", Born: 1}
	d.Set(second)
	require.EqualValues(t, 7, second.Version("m"))
	third := &Endpoint{ID: "e", Service: "s", Born: 2}
	d.Set(third)
	require.Zero(t, third.Version("m"), "a restarted endpoint keeps no weight versions from before")
}
