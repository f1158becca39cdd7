package cluster

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

// TestNewLeaseDoesNotConfirmAUnitThatAnotherNodeOwns guards against orders of a node that
// returns from a cut: its new lease is confirmed before it has read that another node
// acquired its unit meanwhile.
func TestNewLeaseDoesNotConfirmAUnitThatAnotherNodeOwns(t *testing.T) {
	ctx := context.Background()
	f := newFakeNodes()
	c := New(Options{Self: Node{Name: "n0", Incarnation: 1}, Store: f.store, Pinger: f, TTL: testTTL, Logger: slog.New(slog.DiscardHandler)})
	var lost []Unit
	c.options.Lost = func(unit Unit) { lost = append(lost, unit) }
	require.NoError(t, c.refreshLease(ctx))
	unit, err := c.commitUnit(ctx, "u", Unit{Name: "u"}, c.options.Self)
	require.NoError(t, err)
	c.units["u"], c.owned["u"] = unit, unit
	require.NoError(t, c.refreshLease(ctx), "the owner's lease is short")
	require.True(t, c.Confirmed())

	record, err := json.Marshal(Unit{Owner: "n1", Incarnation: 1})
	require.NoError(t, err)
	_, err = f.store.Commit(ctx, metastore.Txn{Conditions: []metastore.Condition{unit.Condition()}, Puts: []metastore.Put{{Key: unitPrefix + "u", Value: record}}})
	require.NoError(t, err)
	require.NoError(t, f.store.End(ctx, c.lease.id))
	require.Error(t, c.refreshLease(ctx), "the lease has ended")
	require.Error(t, c.refreshLease(ctx))
	require.False(t, c.Confirmed(), "the unit belongs to another node")
	c.check(ctx)
	require.Equal(t, []Unit{unit}, lost)
	require.NoError(t, c.refreshLease(ctx))
	require.True(t, c.Confirmed())
}

// TestLeavingIsAnnouncedAfterALostWrite guards against a leaving node that keeps its units
// to the end of its grace period, because the store did not answer when it began to leave.
func TestLeavingIsAnnouncedAfterALostWrite(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "n0", 1).cluster.Want("u")
	f.start(t, "n1", 1).cluster.Want("u")
	first := f.waitOwner(t, "u")
	c := f.nodes[first].cluster
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.lease.written && c.lease.ttl == testTTL
	}, testTimeout, pause, "an owner's key is written once more, under its short lease")
	f.store.SetFaults(memory.Faults{DelayCommits: true})
	c.Leave(context.Background())
	f.store.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool {
		owners := f.owners("u")
		return len(owners) == 1 && owners[0] != first
	}, testTimeout, pause)
}

// TestLateWriteDoesNotUndoLeaving guards against a leaving node that keeps its units, because a
// write of its key from before took effect after the announcement.
func TestLateWriteDoesNotUndoLeaving(t *testing.T) {
	c := New(Options{Self: Node{Name: "n0", Incarnation: 1, Leaving: true}, Logger: slog.New(slog.DiscardHandler)})
	for _, leaving := range []bool{true, false} {
		c.lease = leaseState{id: 1, written: true}
		record, err := json.Marshal(Node{Name: "n0", Incarnation: 1, Leaving: leaving})
		require.NoError(t, err)
		c.Changed(metastore.Event{Item: metastore.Item{Key: nodePrefix + "n0", Value: record, Revision: 5}})
		require.Equal(t, leaving, c.lease.written, "the key is written again unless it says that the node is leaving")
	}
}
