package ownership

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

func TestReleaseAfterTakeOverKeepsSuccessorsKey(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	a, b := newManager(store.View(), "a", c), newManager(store.View(), "b", c)
	old, err := a.Acquire(ctx, "claims/1")
	require.NoError(t, err)
	next, err := b.TakeOver(ctx, "claims/1", "a")
	require.NoError(t, err)
	require.Greater(t, next.Epoch, old.Epoch, "writes of the old epoch are distinguishable")
	require.NoError(t, a.Release(ctx, "claims/1"))
	_, err = newManager(store.View(), "c", c).Acquire(ctx, "claims/1")
	require.Equal(t, "b", HolderOf(err), "the previous holder's release does not delete the successor's key")
	again, err := b.Acquire(ctx, "claims/1")
	require.NoError(t, err)
	require.Equal(t, next, again)
}

func TestTakeOverOnlyFromTheNamedHolder(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	a, b := newManager(store.View(), "a", c), newManager(store.View(), "b", c)
	_, err := a.Acquire(ctx, "claims/1")
	require.NoError(t, err)
	_, err = b.TakeOver(ctx, "claims/1", "x")
	require.True(t, errorx.IsOfType(err, ErrHeldElsewhere))
	require.Equal(t, "a", HolderOf(err))
}

func TestTakeOverOfAFreeUnit(t *testing.T) {
	ctx, c := context.Background(), newClock()
	m := newManager(memstore.New(c.Now), "a", c)
	_, err := m.TakeOver(ctx, "claims/1", "x")
	require.NoError(t, err)
}

// TestPreviousHolderStaysValidUntilItReleases covers a previous holder that is still alive.
// It is not notified of the takeover. It detects the takeover when a write is fenced,
// releases the unit and can acquire it with a new epoch.
func TestPreviousHolderStaysValidUntilItReleases(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	a, b := newManager(store.View(), "a", c), newManager(store.View(), "b", c)
	old, err := a.Acquire(ctx, "claims/1")
	require.NoError(t, err)
	next, err := b.TakeOver(ctx, "claims/1", "a")
	require.NoError(t, err)
	c.advance(DefaultTTL / 2)
	a.tick(ctx)
	c.advance(DefaultTTL * 2 / 3)
	require.True(t, a.Valid(old))
	require.NoError(t, a.Release(ctx, "claims/1"))
	require.NoError(t, b.Release(ctx, "claims/1"))
	again, err := a.Acquire(ctx, "claims/1")
	require.NoError(t, err)
	require.Greater(t, again.Epoch, next.Epoch)
}
