package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/freshness"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/relay"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/watchcache"
	"github.com/comfreyfront/comfreyfront/platform"
)

// Setting of these tests, and for which part of it a node without any way to the store must
// still accept keys.
const (
	testRevocation = 5 * time.Second
	testOwed       = testRevocation * 3 / 5
	// batchDelay is not zero, and the latencies are odd, because the race detector of Go 1.26
	// aborts at a select on a simulated timer that is already due.
	batchDelay         = time.Nanosecond
	storeLatency       = 10*time.Millisecond + 1013*time.Nanosecond
	slowLatency        = 600*time.Millisecond + 10007*time.Nanosecond
	peerLatency        = 3*time.Millisecond + 137*time.Nanosecond
	renewal            = 400 * time.Millisecond
	sampleInterval     = 10*time.Millisecond + 3*time.Nanosecond
	groupSize          = 6
	testChangeInterval = 31 * sampleInterval
)

// line is the state of a way between processes.
type line int32

const (
	up line = iota
	refusing
	silent
)

// way carries calls while its line is up.
type way struct{ state atomic.Int32 }

func (w *way) set(l line) { w.state.Store(int32(l)) }

// pass delays a message and returns an error if it does not arrive.
func (w *way) pass(ctx context.Context, latency time.Duration) error {
	time.Sleep(latency) // simulated; a timer would make the race detector's runtime fail
	switch line(w.state.Load()) {
	case refusing:
		return metastore.ErrUnavailable.New("refused")
	case silent:
		<-ctx.Done()
		return metastore.ErrUnknown.New("no answer")
	}
	return nil
}

// directWay is the store as one node reaches it.
type directWay struct {
	metastore.Store
	way
	watches, latency atomic.Int64
}

func (d *directWay) Get(ctx context.Context, key string) (metastore.Item, error) {
	if err := d.pass(ctx, storeLatency+time.Duration(d.latency.Load())); err != nil {
		return metastore.Item{}, err
	}
	return d.Store.Get(ctx, key)
}

func (d *directWay) Range(ctx context.Context, prefix, after string) (metastore.Page, error) {
	if err := d.pass(ctx, storeLatency+time.Duration(d.latency.Load())); err != nil {
		return metastore.Page{}, err
	}
	return d.Store.Range(ctx, prefix, after)
}

func (d *directWay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	if err := d.pass(ctx, storeLatency+time.Duration(d.latency.Load())); err != nil {
		return nil, 0, err
	}
	d.watches.Add(1)
	events, revision, err := d.Store.Watch(ctx, prefix, after, wait)
	if lost := d.pass(ctx, time.Duration(d.latency.Load())/2); lost != nil {
		return nil, 0, lost
	}
	return events, revision, err
}

// follow is a node that follows the configuration only.
type follow struct {
	*Node
	direct *directWay
	peerly way          // the way of other nodes to this one
	calls  atomic.Int64 // of other nodes to this one
	known  atomic.Int64 // revision of the newest change in force
	// skipped is how much later than the test's time its clock is.
	skipped atomic.Int64
}

// Store serves the calls of other nodes as a peerServer does.
func (f *follow) Store(ctx context.Context, request *nodepb.StoreRequest) (*nodepb.StoreReply, error) {
	f.calls.Add(1)
	if err := f.peerly.pass(ctx, peerLatency); err != nil {
		return nil, err
	}
	var reply *nodepb.StoreReply
	switch {
	case request.GetCached():
		reply = f.caches.serve(ctx, request, f.hubs.instant())
	case !f.store.Connected():
		reply = &nodepb.StoreReply{Failure: nodepb.StoreReply_UNAVAILABLE}
	default:
		reply = serveStore(ctx, f.direct, request)
	}
	return reply, f.peerly.pass(ctx, 0)
}

// peerOf is a node as its peers call it.
type peerOf struct {
	nodepb.Node
	*follow
}

func (p peerOf) Store(ctx context.Context, request *nodepb.StoreRequest) (*nodepb.StoreReply, error) {
	return p.follow.Store(ctx, request)
}

// followGroup is a group of nodes, of which the first two are hubs.
type followGroup struct {
	store *memory.Store
	nodes []*follow
	// written are the changes of the configuration during observe, by when the store accepted
	// them.
	written []change
}

// change is a change of the configuration.
type change struct {
	at       freshness.Instant
	revision int64
}

// runGroup runs a scenario in a group of nodes in simulated time.
func runGroup(t *testing.T, count int, limit time.Duration, scenario func(t *testing.T, g *followGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &followGroup{store: memory.New(nil)}
		g.store.Write(platform.KeyOperator+"config", []byte("x"))
		began := time.Now()
		for i := range count {
			g.nodes = append(g.nodes, newFollow(fmt.Sprintf("n%d", i), g.store, limit, began))
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer func() {
			cancel()
			group.Wait()
			time.Sleep(testRevocation) // probes end
		}()
		for _, f := range g.nodes {
			for _, other := range g.nodes {
				node := cluster.Node{Name: other.config.Name, Address: other.config.Name, Zone: "z", Incarnation: 1}
				value, err := json.Marshal(node)
				require.NoError(t, err)
				f.cluster.Changed(metastore.Event{Item: metastore.Item{Key: cluster.Prefix + "node/" + node.Name, Value: value, Revision: 1}})
				f.hubs.peers.clients[node.Address] = peerOf{follow: other}
			}
			f.cluster.Settled()
			group.Go(func() { _ = f.follower(platform.KeyOperator, batchDelay, f.changed, func() {}).Run(ctx) })
			group.Go(func() { f.renew(ctx) })
		}
		for i, f := range g.nodes { // hubs first
			if _, follows := f.hubs.choose(); !follows {
				g.nodes = append([]*follow{f}, append(g.nodes[:i:i], g.nodes[i+1:]...)...)
			}
		}
		time.Sleep(testRevocation)
		scenario(t, g)
	})
}

func newFollow(name string, store metastore.Store, limit time.Duration, began time.Time) *follow {
	logger := slog.New(slog.DiscardHandler)
	f := &follow{direct: &directWay{Store: store}}
	now := func() freshness.Instant {
		return freshness.Instant(time.Hour + time.Since(began) + time.Duration(f.skipped.Load()))
	}
	f.Node = &Node{
		config: &settings.Node{Name: name, FailureDomain: "z", KeyRevocation: limit},
		logger: logger, registry: prometheus.NewRegistry(),
		cluster: cluster.New(cluster.Options{Self: cluster.Node{Name: name, Zone: "z", Incarnation: 1}, Logger: logger}),
		peers:   &peers{clients: map[string]nodepb.Node{}},
		caches:  caches{platform.KeyOperator: watchcache.New(hubMaxAge)},
	}
	f.certainty = newCertainty(limit, logger, f.registry)
	f.certainty.now = now
	f.hubs = &hubs{cluster: f.cluster, peers: f.peers, now: now}
	if limit > 0 {
		f.caches[platform.KeyOperator].Promptly()
	}
	f.store = relay.New(f.direct, f.relays, nil)
	return f
}

func (f *follow) changed(e metastore.Event) { f.known.Store(e.Revision) }

// renew calls the store as often as a node renews its lease.
func (f *follow) renew(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = f.store.Get(ctx, "lease") // only the way matters
		time.Sleep(renewal)
	}
}

// observe runs for a while and returns the greatest age at any of the nodes. Meanwhile the
// configuration changes at the given interval, if any, and no node may claim to know all
// changes up to an instant when it lacks one.
func (g *followGroup) observe(t *testing.T, nodes []*follow, duration, changeInterval time.Duration) time.Duration {
	worst := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < duration; elapsed += sampleInterval {
		if changeInterval > 0 && elapsed%changeInterval == 0 {
			revision := g.store.Write(platform.KeyOperator+"config", []byte("x"))
			g.written = append(g.written, change{at: nodes[0].hubs.instant(), revision: revision})
		}
		time.Sleep(sampleInterval)
		for _, f := range nodes {
			age, confirmed := f.certainty.tracker.Age(f.hubs.instant())
			require.True(t, confirmed)
			worst = max(worst, age)
			upTo := f.certainty.tracker.Last() // read before the newest known change
			for _, c := range g.written {
				require.True(t, c.at >= upTo || c.revision <= f.known.Load(), "%s lacks a change", f.config.Name)
			}
		}
	}
	return worst
}

// TestAgeInCalmLeavesTimeAfterALoss checks that the configuration is so young in calm that a
// node that loses every way to the store accepts keys as long as it owes that, and that it
// stops before the limit.
func TestAgeInCalmLeavesTimeAfterALoss(t *testing.T) {
	runGroup(t, groupSize, testRevocation, func(t *testing.T, g *followGroup) {
		worst := g.observe(t, g.nodes, 4*testRevocation, 0)
		t.Logf("worst age in calm: %s", worst)
		require.Less(t, worst, testRevocation-freshness.Margin(testRevocation)-testOwed)
		cut := g.nodes[5]
		cut.direct.set(silent)
		for _, f := range g.nodes {
			f.peerly.set(silent)
		}
		lost := time.Now()
		for cut.KeysCertain() {
			time.Sleep(sampleInterval)
		}
		require.GreaterOrEqual(t, time.Since(lost), testOwed)
		require.Less(t, time.Since(lost), testRevocation)
	})
}

// TestNodesStayCertainWhileThereIsAWay checks that keys stay certain through each failure of
// hubs and of ways to the store that leaves a way.
func TestNodesStayCertainWhileThereIsAWay(t *testing.T) {
	for name, fault := range map[string]func(g *followGroup) (observed []*follow){
		"a hub dies":  func(g *followGroup) []*follow { g.nodes[0].peerly.set(refusing); return g.nodes[1:] },
		"a hub hangs": func(g *followGroup) []*follow { g.nodes[0].peerly.set(silent); return g.nodes[1:] },
		"hubs hang": func(g *followGroup) []*follow {
			g.nodes[0].peerly.set(silent)
			g.nodes[1].peerly.set(silent)
			return g.nodes[2:]
		},
		"a hub frozen": func(g *followGroup) []*follow {
			g.nodes[0].peerly.set(silent)
			g.nodes[0].direct.set(silent)
			return g.nodes[1:]
		},
		"a hub is cut off from the store": func(g *followGroup) []*follow { g.nodes[0].direct.set(silent); return g.nodes },
		"hubs are cut off from the store": func(g *followGroup) []*follow {
			g.nodes[0].direct.set(silent)
			g.nodes[1].direct.set(silent)
			return g.nodes
		},
		"a third is refused by the store": func(g *followGroup) []*follow {
			g.nodes[0].direct.set(refusing)
			g.nodes[2].direct.set(refusing)
			return g.nodes
		},
		"a third gets no answers": func(g *followGroup) []*follow {
			g.nodes[1].direct.set(silent)
			g.nodes[3].direct.set(silent)
			return g.nodes
		},
		"hubs hang and a third is refused": func(g *followGroup) []*follow {
			g.nodes[0].peerly.set(silent)
			g.nodes[1].peerly.set(silent)
			g.nodes[2].direct.set(refusing)
			g.nodes[3].direct.set(refusing)
			return g.nodes[2:]
		},
		"the store is slow": func(g *followGroup) []*follow {
			for _, f := range g.nodes {
				f.direct.latency.Store(int64(slowLatency))
			}
			return g.nodes
		},
		"the store drops its history": func(g *followGroup) []*follow { g.store.DropHistory(); return g.nodes },
	} {
		for _, changeInterval := range []time.Duration{0, testChangeInterval} {
			t.Run(fmt.Sprintf("%s, change interval %s", name, changeInterval), func(t *testing.T) {
				runGroup(t, groupSize, testRevocation, func(t *testing.T, g *followGroup) {
					observed := fault(g)
					worst := g.observe(t, observed, 3*testRevocation, changeInterval)
					for _, f := range g.nodes {
						f.direct.set(up)
						f.peerly.set(up)
					}
					worst = max(worst, g.observe(t, observed, testRevocation, changeInterval))
					t.Logf("worst age: %s", worst)
					require.Less(t, worst, testRevocation-freshness.Margin(testRevocation))
				})
			})
		}
	}
}

// TestSuspendedNodeIsUncertainAtOnce checks that a node that was suspended accepts no keys
// when it wakes, and accepts them again once the store has confirmed the configuration.
func TestSuspendedNodeIsUncertainAtOnce(t *testing.T) {
	runGroup(t, groupSize, testRevocation, func(t *testing.T, g *followGroup) {
		for _, f := range []*follow{g.nodes[0], g.nodes[5]} {
			f.skipped.Add(int64(2 * testRevocation))
			require.False(t, f.KeysCertain())
		}
		time.Sleep(2 * freshness.WatchWait(testRevocation))
		require.True(t, g.nodes[5].KeysCertain())
		require.True(t, g.nodes[0].KeysCertain())
	})
}

// TestProcessesLoseAndRegainCertainty checks nodes that reach each other and the store over
// the network: hubs and the others become certain, all lose it while the store is down, and
// regain it.
func TestProcessesLoseAndRegainCertainty(t *testing.T) {
	s := newSystem(t)
	s.configure = func(config *settings.Node) { config.KeyRevocation = time.Second }
	for i := range minHubs + 1 {
		s.start(fmt.Sprintf("n%d", i))
	}
	all := func(certain bool) {
		t.Helper()
		for _, n := range s.nodes {
			require.Eventually(t, func() bool { return n.node.KeysCertain() == certain }, waitLimit, pollInterval)
		}
	}
	follows := func() bool {
		count := 0
		for _, n := range s.nodes {
			if _, ok := n.node.hubs.choose(); ok {
				count++
			}
		}
		return count == 1
	}
	require.Eventually(t, follows, waitLimit, pollInterval)
	all(true)
	s.store.SetFaults(memory.Faults{Down: true})
	all(false)
	s.store.SetFaults(memory.Faults{})
	all(true)
}

// TestCostOfFollowingWithALimit bounds what the limit costs in calm: a hub's watches of the
// store as its wait allows, and hardly more messages between nodes.
func TestCostOfFollowingWithALimit(t *testing.T) {
	const duration = 20 * time.Second
	counts := []int{76, 330}
	if testing.Short() {
		counts = counts[:1]
	}
	for _, count := range counts {
		cost := func(limit time.Duration) (watches, messages float64) {
			runGroup(t, count, limit, func(_ *testing.T, g *followGroup) {
				total := func() (w, m int64) {
					for _, f := range g.nodes {
						w, m = w+f.direct.watches.Load(), m+f.calls.Load()
					}
					return w, m
				}
				watchesBefore, messagesBefore := total()
				time.Sleep(duration)
				w, m := total()
				watches, messages = float64(w-watchesBefore)/duration.Seconds(), float64(m-messagesBefore)/duration.Seconds()
			})
			return watches, messages
		}
		plainWatches, plainMessages := cost(0)
		watches, messages := cost(testRevocation)
		t.Logf("%d nodes: %.1f watches of the store and %.1f messages a second, %.1f and %.1f without a limit", count, watches, messages, plainWatches, plainMessages)
		hubs := float64(max(minHubs, count/nodesPerHub))
		require.LessOrEqual(t, watches, hubs/freshness.WatchWait(testRevocation).Seconds())
		require.LessOrEqual(t, messages, plainMessages*5/4)
	}
}
