package cluster

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
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
