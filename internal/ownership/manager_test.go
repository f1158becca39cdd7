package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
)

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time          { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func newManager(store keyvalue.Store, self string, c *clock) *Manager {
	return New(store, self, Options{Now: c.Now}, quiet)
}

func TestAcquireIsExclusiveAndNamesTheHolder(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	a, b := newManager(store.View(), "a", c), newManager(store.View(), "b", c)
	tenure, err := a.Acquire(ctx, "step/1")
	require.NoError(t, err)
	require.True(t, a.Valid(tenure))
	_, err = b.Acquire(ctx, "step/1")
	require.True(t, errorx.IsOfType(err, ErrHeldElsewhere))
	require.Equal(t, "a", HolderOf(err))
	require.NoError(t, a.Release(ctx, "step/1"))
	require.False(t, a.Valid(tenure))
	next, err := b.Acquire(ctx, "step/1")
	require.NoError(t, err)
	require.Greater(t, next.Epoch, tenure.Epoch)
}

func TestTenureEndsAtItsValidityBoundWhileTheServiceIsDown(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	m := newManager(store, "a", c)
	tenure, err := m.Acquire(ctx, "u")
	require.NoError(t, err)
	store.SetDown(true)
	m.tick(ctx)
	c.advance(DefaultTTL - DefaultTTL/marginDivisor - time.Nanosecond)
	require.True(t, m.Valid(tenure))
	c.advance(time.Nanosecond)
	require.False(t, m.Valid(tenure))
	require.Empty(t, m.Held())
	_, err = m.Acquire(ctx, "u")
	require.True(t, errorx.IsOfType(err, ErrUnavailable))
	_, err = m.Acquire(ctx, "other")
	require.True(t, errorx.IsOfType(err, ErrUnavailable))
}

func TestTenureOfAPausedHolderStaysInvalid(t *testing.T) {
	ctx, c := context.Background(), newClock()
	m := newManager(memstore.New(c.Now), "a", c)
	tenure, err := m.Acquire(ctx, "u")
	require.NoError(t, err)
	c.advance(DefaultTTL - DefaultTTL/marginDivisor) // the lease itself has not expired
	require.False(t, m.Valid(tenure))
	m.tick(ctx)
	require.False(t, m.Valid(tenure))
	next, err := m.Acquire(ctx, "u")
	require.NoError(t, err)
	require.Greater(t, next.Epoch, tenure.Epoch)
	require.False(t, m.Valid(tenure))
	require.True(t, m.Valid(next))
}

func TestAcquireAndReleaseAfterLostResponses(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	m := newManager(store, "a", c)
	store.LoseReplies(1)
	tenure, err := m.Acquire(ctx, "u")
	require.NoError(t, err)
	store.LoseReplies(1)
	require.Error(t, m.Release(ctx, "u"))
	again, err := m.Acquire(ctx, "u")
	require.NoError(t, err)
	require.Greater(t, again.Epoch, tenure.Epoch)
	store.DropWrites(1)
	_, err = m.Acquire(ctx, "v")
	require.NoError(t, err)
}

func TestUncertainKeyIsDeletedLater(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	a, b := newManager(store.View(), "a", c), newManager(store.View(), "b", c)
	_, err := a.Acquire(ctx, "u")
	require.NoError(t, err)
	a.store.(*memstore.Store).SetDown(true)
	require.Error(t, a.Release(ctx, "u"))
	a.store.(*memstore.Store).SetDown(false)
	a.tick(ctx)
	_, err = b.Acquire(ctx, "u")
	require.NoError(t, err)
}

func TestUnitOfAnEarlierProcessOfTheSameEntryIsHeldElsewhere(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	_, err := newManager(store, "a", c).Acquire(ctx, "u")
	require.NoError(t, err)
	_, err = newManager(store, "a", c).Acquire(ctx, "u")
	require.True(t, errorx.IsOfType(err, ErrHeldElsewhere))
}

func TestUnitsShareOneLeaseAndIdleManagerHasNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := memstore.New(nil)
		m := New(store, "a", Options{}, quiet)
		var group errgroup.Group
		group.Go(func() error { return m.Run(ctx) })
		<-time.After(time.Minute + time.Millisecond) // between two renewals
		require.Zero(t, store.Calls())
		first, err := m.Acquire(ctx, "u")
		require.NoError(t, err)
		second, err := m.Acquire(ctx, "v")
		require.NoError(t, err)
		before := store.Calls()
		<-time.After(time.Minute)
		require.True(t, m.Valid(first))
		require.Equal(t, []Tenure{first, second}, m.Held())
		renewals := store.Calls().Writes - before.Writes
		require.Equal(t, int64(time.Minute/(DefaultTTL/renewalsPerTTL)), renewals)
		require.NoError(t, m.Release(ctx, "u"))
		require.NoError(t, m.Release(ctx, "v"))
		<-time.After(DefaultTTL)
		before = store.Calls()
		<-time.After(time.Minute)
		require.Equal(t, before, store.Calls())
		cancel()
		require.NoError(t, group.Wait())
	})
}

func TestReleaseAllFreesAllUnitsImmediately(t *testing.T) {
	ctx, c := context.Background(), newClock()
	store := memstore.New(c.Now)
	a, b := newManager(store, "a", c), newManager(store, "b", c)
	for _, unit := range []string{"u", "v"} {
		_, err := a.Acquire(ctx, unit)
		require.NoError(t, err)
	}
	require.NoError(t, a.ReleaseAll(ctx))
	require.Empty(t, a.Held())
	for _, unit := range []string{"u", "v"} {
		_, err := b.Acquire(ctx, unit)
		require.NoError(t, err)
	}
}

func TestConcurrentAcquiresShareOneTenure(t *testing.T) {
	ctx := context.Background()
	m := New(memstore.New(nil), "a", Options{}, quiet)
	tenures := make([]Tenure, 16)
	var group errgroup.Group
	for i := range tenures {
		group.Go(func() (err error) {
			tenures[i], err = m.Acquire(ctx, "u")
			return err
		})
	}
	require.NoError(t, group.Wait())
	for _, tenure := range tenures {
		require.Equal(t, tenures[0], tenure)
	}
}

func TestAcquireOfAUnitHeldElsewhereWritesNothing(t *testing.T) {
	ctx, c := context.Background(), newClock()
	root := memstore.New(c.Now)
	_, err := newManager(root, "a", c).Acquire(ctx, "u")
	require.NoError(t, err)
	store := root.View()
	_, err = newManager(store, "b", c).Acquire(ctx, "u")
	require.True(t, errorx.IsOfType(err, ErrHeldElsewhere))
	require.Equal(t, memstore.Calls{Reads: 1}, store.Calls())
}
