package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

const (
	testTimeout = 30 * time.Second
	pause       = 2 * time.Millisecond
	testTTL     = 300 * time.Millisecond
)

// fakeNodes is a set of nodes that share one store.
type fakeNodes struct {
	store *memory.Store
	mu    sync.Mutex
	live  map[string]int64 // incarnation by name
	nodes map[string]*fakeNode
	// refusing contains the nodes whose addresses refuse connections although they live, and
	// pings counts the answered pings by node.
	refusing map[string]bool
	pings    map[string]int
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
	incarnation, alive := f.live[node.Name]
	if !alive || f.refusing[node.Name] {
		return 0, true, errors.New("connection refused")
	}
	f.pings[node.Name]++
	return incarnation, false, nil
}

// testLog writes to the output of a test until the test ends. Pings may end later.
type testLog struct {
	mu  sync.Mutex
	out io.Writer
}

func newTestLog(t *testing.T) *testLog {
	t.Helper()
	l := &testLog{out: t.Output()}
	t.Cleanup(func() { l.mu.Lock(); defer l.mu.Unlock(); l.out = io.Discard })
	return l
}

// Write implements io.Writer.
func (l *testLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

func (f *fakeNodes) start(t *testing.T, name string, incarnation int64) *fakeNode {
	t.Helper()
	n := &fakeNode{epochs: map[string]int64{}}
	logger := slog.New(slog.NewTextHandler(newTestLog(t), nil)).With(slog.String("node", name))
	n.cluster = New(Options{
		Self: Node{Name: name, Address: name + ":1", Incarnation: incarnation}, Store: f.store, Pinger: f, TTL: testTTL, Logger: logger,
		Open:     func(metastore.Event) {},
		Acquired: func(u Unit) { n.mu.Lock(); defer n.mu.Unlock(); n.epochs[u.Name] = u.Epoch },
		Lost:     func(u Unit) { n.mu.Lock(); defer n.mu.Unlock(); delete(n.epochs, u.Name) },
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

// kill stops a node's process without a handover.
func (f *fakeNodes) kill(name string) {
	f.mu.Lock()
	delete(f.live, name)
	n := f.nodes[name]
	f.mu.Unlock()
	n.stop()
}

func newFakeNodes() *fakeNodes {
	return &fakeNodes{
		store: memory.New(nil), live: map[string]int64{}, nodes: map[string]*fakeNode{},
		refusing: map[string]bool{}, pings: map[string]int{},
	}
}

func (f *fakeNodes) owners(unit string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, n := range f.nodes {
		if _, alive := f.live[name]; alive && n.epoch(unit) > 0 {
			names = append(names, name)
		}
	}
	return names
}

func (f *fakeNodes) waitOwner(t *testing.T, unit string) string {
	t.Helper()
	require.Eventually(t, func() bool { return len(f.owners(unit)) == 1 }, testTimeout, pause)
	return f.owners(unit)[0]
}

func TestUnitsOfDeadOwnerAreTakenOver(t *testing.T) {
	f := newFakeNodes()
	for i := range 3 {
		f.start(t, fmt.Sprintf("n%d", i), 1).cluster.Want("u")
	}
	first := f.waitOwner(t, "u")
	epoch := f.nodes[first].epoch("u")
	f.kill(first)
	second := f.waitOwner(t, "u")
	require.NotEqual(t, first, second)
	require.Greater(t, f.nodes[second].epoch("u"), epoch, "the new epoch must fence writes of the dead owner")
	_, err := f.store.Commit(context.Background(), metastore.Txn{
		Conditions: []metastore.Condition{Unit{Name: "u", Epoch: epoch}.Condition()},
	})
	require.Error(t, err)
}

func TestRestartedOwnerAcquiresUnitWithNewEpoch(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "only", 1).cluster.Want("u")
	f.waitOwner(t, "u")
	epoch := f.nodes["only"].epoch("u")
	f.kill("only")
	f.start(t, "only", 2).cluster.Want("u")
	require.Eventually(t, func() bool { return f.nodes["only"].epoch("u") > epoch }, testTimeout, pause)
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
	}, testTimeout, pause)
}

// TestOutageOfTheStoreKeepsOwners simulates leases that expire during an outage of the
// store: a node that answers pings remains the owner and writes its key again.
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
	}, testTimeout, pause)
	require.Equal(t, first, f.waitOwner(t, "u"))
	require.Equal(t, epoch, f.nodes[first].epoch("u"))
}

// TestKeyRemovedBeforeItWasListedIsWrittenAgain checks that a node writes its key again
// although it is never told of the removal, because its follower had not listed the key
// before.
func TestKeyRemovedBeforeItWasListedIsWrittenAgain(t *testing.T) {
	f := newFakeNodes()
	c := New(Options{
		Self: Node{Name: "n0", Address: "n0:1", Incarnation: 1}, Store: f.store, Pinger: f, TTL: testTTL, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	require.Eventually(t, c.Confirmed, testTimeout, pause)
	f.store.Remove(nodePrefix + "n0")
	require.Eventually(t, func() bool {
		_, err := f.store.Get(context.Background(), nodePrefix+"n0")
		return err == nil
	}, testTimeout, pause)
}

// TestKeyMissing checks when a node considers its key to be missing.
func TestKeyMissing(t *testing.T) {
	written := time.Unix(1_700_000_000, 0)
	l := leaseState{id: 7, ttl: time.Second, written: true, writtenAt: written}
	require.False(t, l.keyMissing(false, written.Add(time.Second)), "the follower may not have listed the key yet")
	require.True(t, l.keyMissing(false, written.Add(time.Second+1)))
	require.False(t, l.keyMissing(true, written.Add(time.Hour)))
	l.written = false
	require.True(t, l.keyMissing(true, written), "the removal was observed")
	l.id = 0
	require.False(t, l.keyMissing(false, written.Add(time.Hour)), "without a lease there is no key")
}

// TestAcquisitionWithLostResponseIsReadBack checks that a node becomes the owner if its
// write takes effect but the response is lost.
func TestAcquisitionWithLostResponseIsReadBack(t *testing.T) {
	f := newFakeNodes()
	n := f.start(t, "n0", 1)
	require.Eventually(t, n.cluster.Confirmed, testTimeout, pause)
	f.store.SetFaults(memory.Faults{LoseResponses: true})
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

func TestNodesWithHighestCapacityOwnUnits(t *testing.T) {
	c := New(Options{Self: Node{Name: "n0"}})
	for i := range 6 {
		name := fmt.Sprintf("n%d", i)
		c.members[name] = &member{node: Node{Name: name, Capacity: float64(i % 3)}}
	}
	for i := range 50 {
		require.Contains(t, []string{"n2", "n5"}, c.successor(fmt.Sprintf("unit-%d", i), ""))
	}
	require.Equal(t, "n5", c.successor("unit", "n2"), "the current owner is not its own successor")
}

// TestLeaseIsLongerWithoutUnits checks that a node without units has a long lease and
// switches to a short one once it owns a unit.
func TestLeaseIsLongerWithoutUnits(t *testing.T) {
	f := newFakeNodes()
	n := f.start(t, "n0", 1)
	ttl := func() time.Duration {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		return n.cluster.lease.ttl
	}
	require.Eventually(t, n.cluster.Confirmed, testTimeout, pause)
	require.Equal(t, idleFactor*testTTL, ttl())
	n.cluster.Want("u")
	f.waitOwner(t, "u")
	require.Eventually(t, func() bool { return ttl() == testTTL && n.cluster.Confirmed() }, testTimeout, pause)
	item, err := f.store.Get(context.Background(), nodePrefix+"n0")
	require.NoError(t, err)
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	require.Equal(t, n.cluster.lease.id, item.Lease)
}

// TestRetryPauseAfterRateLimitRefusals checks that the pause of a node without units
// doubles with each refusal up to a limit, that an owner's does not, and that pauses are
// randomized.
func TestRetryPauseAfterRateLimitRefusals(t *testing.T) {
	first := testTTL / retriesPerTTL
	idle := New(Options{TTL: testTTL})
	owner := New(Options{TTL: testTTL})
	owner.owned["u"] = Unit{Name: "u"}
	for refused, factor := range []time.Duration{1, 2, 4, 8, 16, 16, 16} {
		for range 50 {
			require.GreaterOrEqual(t, idle.retryPause(refused), first*factor/2)
			require.Less(t, idle.retryPause(refused), first*factor*3/2)
			require.Less(t, owner.retryPause(refused), first*3/2)
		}
	}
}

// TestNodesJoinAfterRateLimitRefusals checks that all nodes join once the store stops
// refusing their calls because of the rate. Until then the nodes slow down their retries,
// so that they do not overload the store.
func TestNodesJoinAfterRateLimitRefusals(t *testing.T) {
	f := newFakeNodes()
	f.store.SetFaults(memory.Faults{OverRate: true})
	const count = 8
	for i := range count {
		f.start(t, fmt.Sprintf("n%d", i), 1)
	}
	// Wait for enough calls for each node to reach the longest retry pause.
	require.Eventually(t, func() bool { return f.store.Calls() >= count*(maxRefusalDoublings+1) }, testTimeout, pause)
	f.store.SetFaults(memory.Faults{})
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { return len(n.cluster.Nodes()) == count-1 }, testTimeout, pause)
	}
}

// TestOwnerWithoutRecordGetsGracePeriod covers a node that just started and finds a unit
// whose owner has no record, as after an outage of the store. The node may take over the
// unit only if the record stays missing.
func TestOwnerWithoutRecordGetsGracePeriod(t *testing.T) {
	f := newFakeNodes()
	f.live["n0"] = 1
	now := time.Unix(1000, 0)
	newCluster := func() *Cluster {
		c := New(Options{Self: Node{Name: "n1", Incarnation: 1}, Pinger: f, TTL: testTTL, Logger: slog.New(slog.DiscardHandler)})
		c.now = func() time.Time { return now }
		c.members["n1"] = &member{node: c.options.Self}
		c.units["u"], c.wanted["u"] = Unit{Name: "u", Owner: "n0", Incarnation: 1, Epoch: 5}, struct{}{}
		return c
	}
	ctx := context.Background()
	c := newCluster()
	require.Empty(t, c.claimableUnits(ctx))
	now = now.Add(missingKeyGrace)
	require.Empty(t, c.claimableUnits(ctx))
	now = now.Add(time.Millisecond)
	require.Equal(t, []string{"u"}, c.claimableUnits(ctx), "the owner's record stayed missing")
	c = newCluster()
	require.Empty(t, c.claimableUnits(ctx))
	c.members["n0"] = &member{node: Node{Name: "n0", Incarnation: 1}}
	now = now.Add(time.Hour)
	require.Empty(t, c.claimableUnits(ctx), "the owner's record is back")
	c.members["n0"] = &member{node: Node{Name: "n0", Incarnation: 2}}
	require.Equal(t, []string{"u"}, c.claimableUnits(ctx), "another incarnation has the owner's name")
}

// TestUnitIsNotTakenFromAProcessWhoseRecordIsNotSeenYet covers nodes that all start at once:
// the first one takes the unit before others see its own record, and they still know the
// record of its former process.
func TestUnitIsNotTakenFromAProcessWhoseRecordIsNotSeenYet(t *testing.T) {
	f := newFakeNodes()
	now := time.Unix(1000, 0)
	c := New(Options{Self: Node{Name: "n1", Incarnation: 11}, Pinger: f, TTL: testTTL, Logger: slog.New(slog.DiscardHandler)})
	c.now = func() time.Time { return now }
	c.members["n0"], c.members["n1"] = &member{node: Node{Name: "n0", Incarnation: 1}}, &member{node: c.options.Self}
	c.units["u"], c.wanted["u"] = Unit{Name: "u", Owner: "n0", Incarnation: 10, Epoch: 852}, struct{}{}
	require.Empty(t, c.claimableUnits(context.Background()))
	now = now.Add(missingKeyGrace)
	require.Empty(t, c.claimableUnits(context.Background()))
	now = now.Add(time.Millisecond)
	require.Equal(t, []string{"u"}, c.claimableUnits(context.Background()), "the process of the unit never wrote its record")
}
