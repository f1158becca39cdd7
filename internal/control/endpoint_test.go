package control

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// leaveTime is the time after which a leaving endpoint gets no new work.
const leaveTime = 3 * time.Second

func replica(i int) keyvalue.Instance {
	id := fmt.Sprint("replica", i)
	return keyvalue.Instance{ID: id, Kind: keyvalue.KindEngine, Address: id, FailureDomain: "larissa", Region: "greece", Serves: "drafts"}
}

func (f *fleet) addReplicas(n int) {
	f.with(func() {
		for i := range n {
			f.instances = append(f.instances, replica(i))
		}
	})
}

func (f *fleet) unlist(id string) {
	f.with(func() {
		var kept []keyvalue.Instance
		for _, instance := range f.instances {
			if instance.ID != id {
				kept = append(kept, instance)
			}
		}
		f.instances = kept
	})
}

func findEndpoint(m *Manager, id string) *endpoint.Endpoint {
	for _, e := range m.Snapshots().Load().Endpoints["drafts"] {
		if e.ID == id {
			return e
		}
	}
	return nil
}

func TestLeavingEndpointIsKnownOnAllEntries(t *testing.T) {
	sources := map[string]func(*fleet, []*Manager){
		"load report of the endpoint": func(f *fleet, _ []*Manager) {
			f.with(func() { f.reports["replica3"] = engine.LoadReport{Leaving: true} })
		},
		"answer of the endpoint to one entry": func(_ *fleet, managers []*Manager) { managers[2].Observer().EndpointLeaving("replica3") },
		"instance list": func(f *fleet, _ []*Manager) {
			f.with(func() {
				for i := range f.instances {
					f.instances[i].Leaving = f.instances[i].Leaving || f.instances[i].ID == "replica3"
				}
			})
		},
	}
	for name, reportLeaving := range sources {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				f.addReplicas(9)
				managers := f.startEntries(6)
				elapse(3 * time.Second)
				require.False(t, findEndpoint(managers[0], "replica3").Leaving)
				reportLeaving(f, managers)
				elapse(leaveTime)
				for _, m := range managers {
					require.True(t, findEndpoint(m, "replica3").Leaving, m.options.ID)
					require.False(t, findEndpoint(m, "replica4").Leaving)
				}
			})
		})
	}
}

func TestReturnedEndpointGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(3)
		managers := f.startEntries(2)
		elapse(3 * time.Second)
		managers[0].Observer().EndpointLeaving("replica1")
		elapse(leaveTime)
		require.True(t, findEndpoint(managers[1], "replica1").Leaving)
		elapse(2 * leavingReportLag)
		require.False(t, findEndpoint(managers[1], "replica1").Leaving, "its own load reports say that it is not leaving")
	})
}

func TestEndpointLeavesRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(9)
		managers := f.startEntries(4)
		elapse(3 * time.Second)
		leave := func(leaving bool) {
			f.with(func() { f.reports["replica1"] = engine.LoadReport{Leaving: leaving} })
		}
		for range 3 {
			leave(true)
			elapse(leaveTime)
			for _, m := range managers {
				require.True(t, findEndpoint(m, "replica1").Leaving)
			}
			leave(false)
			elapse(2 * leavingReportLag)
			for _, m := range managers {
				require.False(t, findEndpoint(m, "replica1").Leaving)
			}
		}
	})
}

func TestListOutageKeepsEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(3)
		m := f.start("entry0", f.memory)
		elapse(3 * time.Second)
		live := findEndpoint(m, "replica0").Live
		f.with(func() { f.listErr = keyvalue.ErrUnavailable.New("down") })
		elapse(time.Minute)
		require.Len(t, m.Snapshots().Load().Endpoints["drafts"], 3)
		f.with(func() { f.listErr = nil })
		elapse(time.Minute)
		require.Same(t, live, findEndpoint(m, "replica0").Live, "live counters are kept across snapshots")
	})
}

func TestUnlistedEndpointIsKeptWhileItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(3)
		m := f.start("entry0", f.memory)
		elapse(3 * time.Second)
		f.unlist("replica1")
		elapse(time.Minute)
		require.NotNil(t, findEndpoint(m, "replica1"))
		f.with(func() { f.unresponsive["replica1"] = true })
		elapse(10 * time.Second)
		require.Nil(t, findEndpoint(m, "replica1"))
	})
}

func TestUnresponsiveEndpointIsUnreadyUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(2)
		m := f.start("entry0", f.memory)
		elapse(3 * time.Second)
		f.with(func() { f.unresponsive["replica1"] = true })
		elapse(5 * time.Second)
		require.True(t, findEndpoint(m, "replica1").Unready)
		f.with(func() { f.unresponsive["replica1"] = false })
		elapse(5 * time.Second)
		require.False(t, findEndpoint(m, "replica1").Unready)
	})
}

// fixedDetector always demotes one endpoint.
type fixedDetector struct{}

func (fixedDetector) Decide([]policy.EndpointLatency, time.Time) map[string]float64 {
	return map[string]float64{"replica1": 0.5}
}

func TestDemotionReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(3)
		options := f.options("entry0", f.memory)
		options.NewOutlierDetector = func() OutlierDetector { return fixedDetector{} }
		f.run(New(options, slog.New(slog.DiscardHandler), nil))
		peer := f.start("entry1", f.memory)
		elapse(10 * time.Second)
		require.Equal(t, 0.5, findEndpoint(peer, "replica1").Demotion)
		require.Zero(t, findEndpoint(peer, "replica0").Demotion)
	})
}

func TestVersionsAndReadinessArePublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		f.addReplicas(2)
		managers := f.startEntries(3)
		elapse(3 * time.Second)
		managers[0].SetVersions(t.Context(), "drafts", 7, 5)
		managers[0].SetUnready(t.Context(), "replica0", true)
		elapse(2 * time.Second)
		published := managers[2].Snapshots().Load().Versions["drafts"]
		require.Equal(t, int64(7), published.Newest)
		require.Equal(t, int64(5), published.Floor)
		require.True(t, findEndpoint(managers[0], "replica0").Unready)
	})
}

func TestLeavingEntryStaysReachableAndIsMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(3)
		elapse(3 * time.Second)
		managers[0].Leave(t.Context())
		elapse(2 * time.Second)
		snapshot := managers[1].Snapshots().Load()
		require.Len(t, snapshot.Peers, 3, "a leaving entry stays a peer, since others request what it has not handed over")
		require.True(t, snapshot.Peers[0].Leaving)
		require.Equal(t, 2, snapshot.Staying())
	})
}

func TestDeadEntryIsRemovedFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(6)
		elapse(3 * time.Second)
		f.with(func() { f.cut["entry0"] = true })
		elapse(15 * time.Second)
		for _, m := range managers[1:] {
			require.Len(t, m.Snapshots().Load().Peers, 5)
			require.Equal(t, []string{"entry0"}, m.Snapshots().Load().Dead)
		}
		f.with(func() { f.cut["entry0"] = false })
		elapse(10 * time.Second)
		for _, m := range managers {
			require.Len(t, m.Snapshots().Load().Peers, 6, "entry0 is reachable again")
			require.Empty(t, m.Snapshots().Load().Dead, "entry0 is reachable again")
		}
	})
}

func TestBrokenLinkBetweenTwoEntriesKeepsBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(6)
		elapse(3 * time.Second)
		f.with(func() { f.cut["entry0-entry1"] = true })
		for range 60 {
			elapse(time.Second)
			for _, m := range managers {
				require.Len(t, m.Snapshots().Load().Peers, 6, m.options.ID)
			}
		}
	})
}

func TestObserverNeverBlocks(t *testing.T) {
	m := New(Options{ID: "entry0", Snapshots: &Snapshots{}}, slog.New(slog.DiscardHandler), nil)
	for range observationBuffer + 5 {
		m.Observer().EndpointFailed("replica0")
	}
	require.Equal(t, 5.0, testutil.ToFloat64(m.metrics.dropped))
}

func TestEveryEndpointHasFollowers(t *testing.T) {
	const domains, entriesOfDomain, endpointsOfDomain, followers = 4, 6, 100, 4
	var entries []hashedEntry
	for i := range domains * entriesOfDomain {
		id := fmt.Sprint("entry", i)
		entries = append(entries, hashedEntry{id: id, domain: fmt.Sprint("domain", i%domains), hash: hashOf(id)})
	}
	groups := newEntryGroups(entries)
	for i := range domains * endpointsOfDomain {
		instance := keyvalue.Instance{ID: fmt.Sprint("replica", i), FailureDomain: fmt.Sprint("domain", i%domains)}
		followed := 0
		for _, entry := range entries {
			if groups.isFollower(entry.id, instance, followers) {
				require.Equal(t, instance.FailureDomain, entry.domain)
				followed++
			}
		}
		require.Equal(t, followers, followed)
	}
}

func FuzzDecodeLoad(f *testing.F) {
	for _, seed := range []string{"", "{}", `{"running":-1}`, `{"running":3,"slots":8,"leaving":true,"reported_at":"2026-01-01T00:00:00Z"}`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := decodeLoad(data)
		if err == nil {
			require.GreaterOrEqual(t, report.Running, 0)
		}
	})
}
