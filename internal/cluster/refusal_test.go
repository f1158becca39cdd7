package cluster

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (f *fakeNodes) setRefusing(name string, refusing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusing[name] = refusing
}

func (f *fakeNodes) answeredPings(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pings[name]
}

// TestNodesRefusedInTurnDoNotSwapAUnit guards against two nodes that take a unit from each
// other for good: each was cut off once with its connections refused, and lives on.
func TestNodesRefusedInTurnDoNotSwapAUnit(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "n0", 1).cluster.Want("u")
	f.start(t, "n1", 1).cluster.Want("u")
	first := f.waitOwner(t, "u")
	second := map[string]string{"n0": "n1", "n1": "n0"}[first]
	takeover := func(from, to string) {
		c := f.nodes[to].cluster
		require.Eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			unit, known := c.units["u"]
			return known && unit.Owner == from && c.now().Sub(unit.observedAt) > tenureTTLs*testTTL
		}, testTimeout, pause, "refusals count only for an owner of some time")
		epoch := f.nodes[from].epoch("u")
		f.setRefusing(from, true)
		require.Eventually(t, func() bool { return f.nodes[to].epoch("u") > epoch }, testTimeout, pause)
		f.setRefusing(from, false)
	}
	takeover(first, second)
	takeover(second, first)
	require.Equal(t, first, f.waitOwner(t, "u"))
	epoch := f.nodes[first].epoch("u")
	answered := f.answeredPings(first)
	const checks = 5
	require.Eventually(t, func() bool { return f.answeredPings(first) >= answered+checks }, testTimeout, pause,
		"the other node must see that the owner lives")
	require.Equal(t, first, f.waitOwner(t, "u"))
	require.Equal(t, epoch, f.nodes[first].epoch("u"))
}

// refusalCluster is the cluster of n1, which would take over unit u from n0.
type refusalCluster struct {
	*Cluster
	t     *testing.T
	nodes *fakeNodes
	time  time.Time
}

func newRefusalCluster(t *testing.T) *refusalCluster {
	t.Helper()
	r := &refusalCluster{t: t, nodes: newFakeNodes(), time: time.Unix(1000, 0)}
	r.Cluster = New(Options{Self: Node{Name: "n1", Incarnation: 1}, Pinger: r.nodes, TTL: testTTL, Logger: slog.New(slog.DiscardHandler)})
	r.now = func() time.Time { return r.time }
	r.members["n0"] = &member{node: Node{Name: "n0", Incarnation: 1}}
	r.members["n1"] = &member{node: r.options.Self}
	r.units["u"], r.wanted["u"] = Unit{Name: "u", Owner: "n0", Incarnation: 1, Epoch: 5}, struct{}{}
	return r
}

// pass moves the clock of the cluster.
func (r *refusalCluster) pass(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.time = r.time.Add(d)
}

// replaceableAfterPing pings n0 and reports whether its unit can be taken over afterwards.
func (r *refusalCluster) replaceableAfterPing() bool {
	r.t.Helper()
	m := r.members["n0"]
	seen := func() (missed, answered time.Time) { r.mu.Lock(); defer r.mu.Unlock(); return m.missedAt, m.answeredAt }
	r.pass(time.Millisecond) // so that the time of each answer differs
	missed, answered := seen()
	r.ping(context.Background(), m, m.node)
	require.Eventually(r.t, func() bool {
		nowMissed, nowAnswered := seen()
		return nowMissed.After(missed) || nowAnswered.After(answered)
	}, testTimeout, pause)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replaceable(r.units["u"], m)
}

// TestRefusedConnectionsCountUntilTheLeaseMustHaveEnded checks that a refused connection
// leads to a quick takeover, but not from an owner whose key outlasts its lease: that owner
// is alive.
func TestRefusedConnectionsCountUntilTheLeaseMustHaveEnded(t *testing.T) {
	r := newRefusalCluster(t)
	require.True(t, r.replaceableAfterPing(), "nothing listens at the owner's address")
	r.pass(refusalTTLs * testTTL)
	require.False(t, r.replaceableAfterPing(), "the owner's key is still there")
	r.nodes.live["n0"] = 1
	require.False(t, r.replaceableAfterPing())
	delete(r.nodes.live, "n0")
	require.True(t, r.replaceableAfterPing(), "refused again after an answer")
	r.pass(refusalTTLs * testTTL)
	r.members["n0"].keyRemovedAt = r.time
	require.True(t, r.replaceableAfterPing(), "the owner's key is gone")
}

// TestUnitIsNotTakenFromNewOwnerByRefusalAlone checks that refused connections do not end a
// new ownership, and that a removed key and another process at the owner's address do.
func TestUnitIsNotTakenFromNewOwnerByRefusalAlone(t *testing.T) {
	r := newRefusalCluster(t)
	unit := r.units["u"]
	unit.observedAt = r.time
	r.units["u"] = unit
	require.False(t, r.replaceableAfterPing())
	r.members["n0"].keyRemovedAt = r.time
	require.True(t, r.replaceableAfterPing(), "the owner's key is gone")

	r = newRefusalCluster(t)
	r.units["u"] = unit
	r.nodes.live["n0"] = 2
	require.True(t, r.replaceableAfterPing(), "another process responds at the owner's address")
}

// TestOldMissedPingsDoNotEndANode guards against a takeover from an owner that answers, because
// of pings that it missed during an earlier cut: its key was gone for a moment.
func TestOldMissedPingsDoNotEndANode(t *testing.T) {
	r := newRefusalCluster(t)
	for range maxMissedPings {
		require.True(t, r.replaceableAfterPing())
	}
	r.pass(time.Minute)
	r.nodes.live["n0"] = 1
	r.members["n0"].keyRemovedAt = r.time
	replaceable := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.replaceable(r.units["u"], r.members["n0"])
	}
	require.False(t, replaceable(), "not pinged since")
	delete(r.nodes.live, "n0")
	require.False(t, r.replaceableAfterPing(), "one missed ping")
	require.True(t, r.replaceableAfterPing(), "two missed pings in a row")
}
