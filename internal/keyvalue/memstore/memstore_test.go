package memstore

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

func TestCompareAndSwapMaintainsRevisions(t *testing.T) {
	ctx, s := context.Background(), New(nil)
	first, err := s.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
	require.NoError(t, err)
	current, err := s.CompareAndSwap(ctx, "a", 0, []byte("2"), 0)
	require.True(t, errorx.IsOfType(err, keyvalue.ErrConflict))
	require.Equal(t, first, current)
	second, err := s.CompareAndSwap(ctx, "a", first.Revision, []byte("2"), 0)
	require.NoError(t, err)
	require.Equal(t, first.CreateRevision, second.CreateRevision)
	require.Greater(t, second.Revision, first.Revision)
	require.True(t, errorx.IsOfType(s.Delete(ctx, "a", first.Revision), keyvalue.ErrConflict))
	require.NoError(t, s.Delete(ctx, "a", second.Revision))
	_, err = s.Get(ctx, "a")
	require.True(t, errorx.IsOfType(err, keyvalue.ErrNotFound))
}

func TestLeaseExpiresByTheStoresClock(t *testing.T) {
	ctx, now := context.Background(), time.Unix(0, 0)
	s := New(func() time.Time { return now })
	id, err := s.Grant(ctx, time.Second)
	require.NoError(t, err)
	_, err = s.CompareAndSwap(ctx, "a", 0, nil, id)
	require.NoError(t, err)
	now = now.Add(900 * time.Millisecond)
	require.NoError(t, s.KeepAlive(ctx, id))
	now = now.Add(time.Second)
	require.True(t, errorx.IsOfType(s.KeepAlive(ctx, id), keyvalue.ErrLeaseLapsed))
	_, err = s.Get(ctx, "a")
	require.True(t, errorx.IsOfType(err, keyvalue.ErrNotFound))
}

func TestFaultsAffectOneViewOnly(t *testing.T) {
	ctx, s := context.Background(), New(nil)
	other := s.View()
	s.LoseReplies(1)
	_, err := s.CompareAndSwap(ctx, "a", 0, nil, 0)
	require.True(t, errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown))
	s.DropWrites(1)
	_, err = s.CompareAndSwap(ctx, "b", 0, nil, 0)
	require.True(t, errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown))
	s.SetDown(true)
	_, err = s.Get(ctx, "a")
	require.True(t, errorx.IsOfType(err, keyvalue.ErrUnavailable))
	_, err = other.Get(ctx, "a")
	require.NoError(t, err)
	_, err = other.Get(ctx, "b")
	require.True(t, errorx.IsOfType(err, keyvalue.ErrNotFound))
	require.Equal(t, Calls{Reads: 1, Writes: 2}, s.Calls())
}

func TestWatchReturnsChangesAndDetectsCompaction(t *testing.T) {
	ctx, s := context.Background(), New(nil)
	value, err := s.CompareAndSwap(ctx, "p/a", 0, nil, 0)
	require.NoError(t, err)
	require.NoError(t, s.Delete(ctx, "p/a", value.Revision))
	changes, next, err := s.Watch(ctx, "p/", 0, time.Minute)
	require.NoError(t, err)
	require.Len(t, changes, 2)
	require.True(t, changes[1].Deleted)
	changes, again, err := s.Watch(ctx, "p/", next, 0)
	require.NoError(t, err)
	require.Empty(t, changes)
	require.Equal(t, next, again)
	s.Compact()
	_, _, err = s.Watch(ctx, "p/", 0, time.Minute)
	require.True(t, errorx.IsOfType(err, keyvalue.ErrCompacted))
}
