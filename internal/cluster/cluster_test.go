package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

const (
	patience = 30 * time.Second
	pause    = 2 * time.Millisecond
	testTTL  = 300 * time.Millisecond
)

// fakeNodes is a few nodes on one store.
type fakeNodes struct {
	store *memory.Store
	mu    sync.Mutex
	live  map[string]int64 // incarnation by name
	nodes map[string]*fakeNode
}

type fakeNode struct {
	cluster *Cluster
	stop    func()
	mu      sync.Mutex
	epochs  map[string]int64
}

func (n *fakeNode) epoch(unit string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epochs[unit]
}

// Ping implements Pinger.
func (f *fakeNodes) Ping(_ context.Context, node Node) (int64, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation, lives := f.live[node.Name]
	if !lives {
		return 0, true, errors.New("connection refused")
	}
	return incarnation, false, nil
}

func (f *fakeNodes) start(t *testing.T, name string, incarnation int64) *fakeNode {
	t.Helper()
	n := &fakeNode{epochs: map[string]int64{}}
	logger := slog.New(slog.DiscardHandler)
	n.cluster = New(Options{
		Self: Node{Name: name, Address: name + ":1", Incarnation: incarnation}, Store: f.store, Pinger: f, TTL: testTTL, Logger: logger,
		Open:   func(metastore.Event) {},
		Acquired: func(u Unit) { n.mu.Lock(); defer n.mu.Unlock(); n.epochs[u.Name] = u.Epoch },
		Lost:   func(u Unit) { n.mu.Lock(); defer n.mu.Unlock(); delete(n.epochs, u.Name) },
	})
	follower := &metastore.Follower{
		Store: f.store, Prefix: Prefix, Wait: 20 * time.Millisecond, Logger: logger,
		Changed: n.cluster.Changed, Settled: n.cluster.Settled,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = n.cluster.Run(ctx) })
	group.Go(func() { _ = follower.Run(ctx) })
	n.stop = func() { cancel(); group.Wait() }
	f.mu.Lock()
	f.live[name] = incarnation
	f.nodes[name] = n
	f.mu.Unlock()
	t.Cleanup(n.stop)
	return n
}

// kill ends a node's process without a word.
func (f *fakeNodes) kill(name string) {
	f.mu.Lock()
	delete(f.live, name)
	n := f.nodes[name]
	f.mu.Unlock()
	n.stop()
}

func newFakeNodes() *fakeNodes {
	return &fakeNodes{store: memory.New(nil), live: map[string]int64{}, nodes: map[string]*fakeNode{}}
}

func (f *fakeNodes) owners(unit string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, n := range f.nodes {
		if _, lives := f.live[name]; lives && n.epoch(unit) > 0 {
			names = append(names, name)
		}
	}
	return names
}

func (f *fakeNodes) waitOwner(t *testing.T, unit string) string {
	t.Helper()
	require.Eventually(t, func() bool { return len(f.owners(unit)) == 1 }, patience, pause)
	return f.owners(unit)[0]
}

func TestSuccessorTakesUnitsOfDeadOwner(t *testing.T) {
	f := newFakeNodes()
	for i := range 3 {
		f.start(t, fmt.Sprintf("n%d", i), 1).cluster.Want("u")
	}
	first := f.waitOwner(t, "u")
	epoch := f.nodes[first].epoch("u")
	f.kill(first)
	second := f.waitOwner(t, "u")
	require.NotEqual(t, first, second)
	require.Greater(t, f.nodes[second].epoch("u"), epoch, "the epoch fences the dead owner's writes")
	_, err := f.store.Commit(context.Background(), metastore.Txn{
		Conditions: []metastore.Condition{Unit{Name: "u", Epoch: epoch}.Condition()},
	})
	require.Error(t, err)
}

func TestRestartedOwnerIsNotItsFormerSelf(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "only", 1).cluster.Want("u")
	f.waitOwner(t, "u")
	epoch := f.nodes["only"].epoch("u")
	f.kill("only")
	f.start(t, "only", 2).cluster.Want("u")
	require.Eventually(t, func() bool { return f.nodes["only"].epoch("u") > epoch }, patience, pause)
}

func TestLeavingOwnerHandsOver(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "n0", 1).cluster.Want("u")
	f.start(t, "n1", 1).cluster.Want("u")
	first := f.waitOwner(t, "u")
	f.nodes[first].cluster.Leave(context.Background())
	require.Eventually(t, func() bool {
		owners := f.owners("u")
		return len(owners) == 1 && owners[0] != first
	}, patience, pause)
}

// TestOutageOfTheStoreKeepsOwners: leases end while the store is away; a node that
// answers stays the owner, and writes its key again.
func TestOutageOfTheStoreKeepsOwners(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "n0", 1).cluster.Want("u")
	f.start(t, "n1", 1).cluster.Want("u")
	first := f.waitOwner(t, "u")
	epoch := f.nodes[first].epoch("u")
	f.store.SetFaults(memory.Faults{Down: true})
	f.store.Remove(nodePrefix + "n0")
	f.store.Remove(nodePrefix + "n1")
	f.store.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool {
		_, err0 := f.store.Get(context.Background(), nodePrefix+"n0")
		_, err1 := f.store.Get(context.Background(), nodePrefix+"n1")
		return err0 == nil && err1 == nil
	}, patience, pause)
	require.Equal(t, first, f.waitOwner(t, "u"))
	require.Equal(t, epoch, f.nodes[first].epoch("u"))
}

// TestTakingWithoutAnswerIsReadBack: the write that makes a node the owner may
// take effect though its answer is lost.
func TestTakingWithoutAnswerIsReadBack(t *testing.T) {
	f := newFakeNodes()
	n := f.start(t, "n0", 1)
	require.Eventually(t, n.cluster.Confirmed, patience, pause)
	f.store.SetFaults(memory.Faults{LoseAnswers: true})
	n.cluster.Want("u")
	f.waitOwner(t, "u")
	item, err := f.store.Get(context.Background(), unitPrefix+"u")
	require.NoError(t, err)
	require.Equal(t, item.Revision, n.epoch("u"))
}

func TestRankSpreadsUnits(t *testing.T) {
	count := map[string]int{}
	c := New(Options{Self: Node{Name: "n0"}})
	for i := range 6 {
		name := fmt.Sprintf("n%d", i)
		c.members[name] = &member{node: Node{Name: name}}
	}
	const units = 600
	for i := range units {
		count[c.successor(fmt.Sprintf("unit-%d", i), "")]++
	}
	for name, n := range count {
		require.InDelta(t, units/6, n, units/12, name)
	}
}

func TestStrongestNodesOwnUnits(t *testing.T) {
	c := New(Options{Self: Node{Name: "n0"}})
	for i := range 6 {
		name := fmt.Sprintf("n%d", i)
		c.members[name] = &member{node: Node{Name: name, Capacity: float64(i % 3)}}
	}
	for i := range 50 {
		require.Contains(t, []string{"n2", "n5"}, c.successor(fmt.Sprintf("unit-%d", i), ""))
	}
	require.Equal(t, "n5", c.successor("unit", "n2"), "the owner itself does not succeed")
}

// TestLeaseIsLongWhileNothingIsOwned and short from the moment on that something is.
func TestLeaseIsLongWhileNothingIsOwned(t *testing.T) {
	f := newFakeNodes()
	n := f.start(t, "n0", 1)
	ttl := func() time.Duration {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		return n.cluster.lease.ttl
	}
	require.Eventually(t, n.cluster.Confirmed, patience, pause)
	require.Equal(t, idleFactor*testTTL, ttl())
	n.cluster.Want("u")
	f.waitOwner(t, "u")
	require.Eventually(t, func() bool { return ttl() == testTTL && n.cluster.Confirmed() }, patience, pause)
	item, err := f.store.Get(context.Background(), nodePrefix+"n0")
	require.NoError(t, err)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	require.Equal(t, n.cluster.lease.id, item.Lease)
}

// TestRefusalsForRateSpreadRetries: nodes that own nothing wait longer and longer,
// an owner does not, and no two nodes wait alike.
func TestRefusalsForRateSpreadRetries(t *testing.T) {
	first := testTTL / retriesPerTTL
	idle := New(Options{TTL: testTTL})
	owner := New(Options{TTL: testTTL})
	owner.held["u"] = Unit{Name: "u"}
	for refused, factor := range []time.Duration{1, 2, 4, 8, 16, 16, 16} {
		for range 50 {
			require.GreaterOrEqual(t, idle.retryPause(refused), first*factor/2)
			require.Less(t, idle.retryPause(refused), first*factor*3/2)
			require.Less(t, owner.retryPause(refused), first*3/2)
		}
	}
}

// TestNodesComeInAfterRefusals: while the store refuses all calls for their rate,
// the nodes do not hammer it; afterwards all of them come in.
func TestNodesComeInAfterRefusals(t *testing.T) {
	f := newFakeNodes()
	f.store.SetFaults(memory.Faults{OverRate: true})
	const count = 8
	for i := range count {
		f.start(t, fmt.Sprintf("n%d", i), 1)
	}
	// One call of each that refuses for good, and the doublings, come first.
	require.Eventually(t, func() bool { return f.store.Calls() >= count*(refusedDoublings+1) }, patience, pause)
	f.store.SetFaults(memory.Faults{})
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { return len(n.cluster.Nodes()) == count-1 }, patience, pause)
	}
}

// TestUnseenOwnerIsGivenTime: a node that just started finds a unit whose owner
// has no record, as after an outage of the store: it takes the unit only when the
// record stays away.
func TestUnseenOwnerIsGivenTime(t *testing.T) {
	f := newFakeNodes()
	f.live["n0"] = 1
	now := time.Unix(1000, 0)
	fresh := func() *Cluster {
		c := New(Options{Self: Node{Name: "n1", Incarnation: 1}, Pinger: f, TTL: testTTL, Logger: slog.New(slog.DiscardHandler)})
		c.now = func() time.Time { return now }
		c.members["n1"] = &member{node: c.options.Self}
		c.units["u"], c.wanted["u"] = Unit{Name: "u", Owner: "n0", Incarnation: 1, Epoch: 5}, struct{}{}
		return c
	}
	ctx := context.Background()
	c := fresh()
	require.Empty(t, c.vacant(ctx))
	now = now.Add(goneGrace)
	require.Empty(t, c.vacant(ctx))
	now = now.Add(time.Millisecond)
	require.Equal(t, []string{"u"}, c.vacant(ctx), "its record stayed away")
	c = fresh()
	require.Empty(t, c.vacant(ctx))
	c.members["n0"] = &member{node: Node{Name: "n0", Incarnation: 1}}
	now = now.Add(time.Hour)
	require.Empty(t, c.vacant(ctx), "it is back")
	c.members["n0"] = &member{node: Node{Name: "n0", Incarnation: 2}}
	require.Equal(t, []string{"u"}, c.vacant(ctx), "another process has its name")
}
