package fleet

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Unix(1_700_000_000, 0)

func endpointOf(id string, slots int) *Endpoint {
	return &Endpoint{ID: id, Service: "s", Zone: "z", Slots: slots, Live: &Live{}}
}

func TestChoosePassesOverTrouble(t *testing.T) {
	free, busy, failed, full, draining := endpointOf("free", 4), endpointOf("busy", 4), endpointOf("failed", 4), endpointOf("full", 4), endpointOf("draining", 4)
	for range 3 {
		busy.Live.Begin()
	}
	failed.Live.Fail(noon)
	full.Live.MarkFull(noon.Add(time.Second))
	draining.Draining = true
	all := []*Endpoint{draining, full, failed, busy, free}
	var tried []string
	for _, want := range []string{"free", "busy", "full", "failed"} {
		chosen, ok := Choose(all, Work{Tried: tried, Zone: "z"}, noon)
		require.True(t, ok)
		require.Equal(t, want, chosen.ID)
		tried = append(tried, chosen.ID)
	}
	_, ok := Choose(all, Work{Tried: tried}, noon)
	require.False(t, ok, "a draining endpoint gets no new work")
}

func TestChooseWeighsSlowMachinesAndDistance(t *testing.T) {
	slow, far, near := endpointOf("slow", 4), endpointOf("far", 4), endpointOf("near", 4)
	slow.Live.Report(Load{Slots: 4, Percent: 250}, noon)
	far.Zone = "elsewhere"
	chosen, _ := Choose([]*Endpoint{slow, far, near}, Work{Zone: "z"}, noon)
	require.Equal(t, "near", chosen.ID)
	chosen, _ = Choose([]*Endpoint{slow, far}, Work{Zone: "z"}, noon)
	require.Equal(t, "far", chosen.ID)
	chosen, _ = Choose([]*Endpoint{slow, far}, Work{Zone: "z"}, noon.Add(2*loadTrust))
	require.Equal(t, "slow", chosen.ID, "an old report is not believed")
}

func TestOthersLoadCounts(t *testing.T) {
	one, two := endpointOf("one", 4), endpointOf("two", 4)
	one.Live.Report(Load{Running: 3, Waiting: 2, Slots: 4}, noon)
	chosen, _ := Choose([]*Endpoint{one, two}, Work{Zone: "z"}, noon)
	require.Equal(t, "two", chosen.ID)
}

func TestFailuresLengthenAndSuccessEnds(t *testing.T) {
	var l Live
	l.Fail(noon)
	require.True(t, l.Avoided(noon.Add(avoidFirst-1)))
	require.False(t, l.Avoided(noon.Add(avoidFirst)))
	for range 10 {
		l.Fail(noon)
	}
	require.True(t, l.Avoided(noon.Add(avoidMost-1)))
	require.False(t, l.Avoided(noon.Add(avoidMost)))
	l.Succeed()
	require.False(t, l.Avoided(noon))
}

func newDirectory(now *time.Time) *Directory {
	d := NewDirectory(slog.New(slog.DiscardHandler))
	d.now = func() time.Time { return *now }
	return d
}

func TestEndpointsMayComeBackAfterAnOutage(t *testing.T) {
	now := noon
	d := newDirectory(&now)
	d.Set(endpointOf("back", 1))
	d.Set(endpointOf("gone", 1))
	d.Publish()
	d.StoreLost()
	d.Remove("back")
	d.Remove("gone")
	d.Publish()
	require.Len(t, d.Of("s"), 2, "the last list stays while the store is away")
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
	require.Zero(t, d.Len(), "in calm a removed endpoint is gone at once")
}

func TestLiveOutlastsChangesButNotRestarts(t *testing.T) {
	now := noon
	d := newDirectory(&now)
	first := endpointOf("e", 1)
	first.Born = 1
	d.Set(first)
	first.Live.SawVersion("m", 7)
	second := &Endpoint{ID: "e", Service: "s", Born: 1}
	d.Set(second)
	require.EqualValues(t, 7, second.Version("m"))
	third := &Endpoint{ID: "e", Service: "s", Born: 2}
	d.Set(third)
	require.Zero(t, third.Version("m"), "an endpoint that started again knows nothing of before")
}
