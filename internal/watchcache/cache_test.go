package watchcache

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/freshness"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

const (
	testTimeout = 20 * time.Second
	pause       = time.Millisecond
)

// cachedStore is a store that serves watches from a cache. It serves ranges from the cache
// too, or from the store while the cache is unavailable.
type cachedStore struct {
	metastore.Store
	cache *Cache
}

func (s cachedStore) Range(ctx context.Context, prefix, after string) (metastore.Page, error) {
	page, _, err := s.cache.Range(prefix, after)
	if err != nil {
		return s.Store.Range(ctx, prefix, after)
	}
	return page, nil
}

func (s cachedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	changes, err := s.cache.Watch(ctx, prefix, after, wait)
	return changes.Events, changes.Position, err
}

// TestFollowerOfCacheMatchesStore checks that a node that watches another node's cache
// ends with the store's keys when the store drops its history or fails.
func TestFollowerOfCacheMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New(nil)
		cache := New(time.Minute)
		logger := slog.New(slog.DiscardHandler)
		hub := &metastore.Follower{
			Store: store, Prefix: "a/", Wait: 3 * time.Millisecond, Logger: logger, Settled: func() {},
			Changed: cache.Changed, Listed: cache.Listed, Confirmed: func(position int64) { cache.Confirmed(position, true, freshness.None) },
		}
		var mu sync.Mutex
		got := map[string]string{}
		node := &metastore.Follower{
			Store: cachedStore{Store: store, cache: cache}, Prefix: "a/", Wait: 3 * time.Millisecond, Logger: logger, Settled: func() {},
			Changed: func(e metastore.Event) {
				mu.Lock()
				defer mu.Unlock()
				if e.Deleted {
					delete(got, e.Key)
					return
				}
				got[e.Key] = string(e.Value)
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = hub.Run(ctx) })
		group.Go(func() { _ = node.Run(ctx) })
		defer group.Wait()
		defer cancel()
		want := map[string]string{}
		for i := range rapid.IntRange(1, 20).Draw(t, "actions") {
			key := fmt.Sprintf("a/%d", rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				want[key] = fmt.Sprint(i)
				store.Write(key, []byte(want[key]))
			case 3:
				delete(want, key)
				store.Remove(key)
			case 4:
				store.DropHistory()
			case 5:
				store.SetFaults(memory.Faults{Down: true})
				store.SetFaults(memory.Faults{})
			}
		}
		require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return maps.Equal(want, got) }, testTimeout, pause)
	})
}

// TestWatchFromWithinHistoryGapIsCompacted covers a key that was created and deleted
// while the cache missed the store's history. A watcher may know the key, and the cached
// changes do not contain its deletion, so the watcher must list the range again.
func TestWatchFromWithinHistoryGapIsCompacted(t *testing.T) {
	c := New(time.Minute)
	c.Listed(8)
	c.Confirmed(8, true, freshness.None)
	// a/3 is written at 9 and removed at 10; the follower lists the range again at 11.
	c.Changed(metastore.Event{Item: metastore.Item{Key: "a/2", Revision: 11}})
	c.Listed(11)
	c.Confirmed(11, true, freshness.None)
	for after := int64(8); after < 11; after++ {
		_, err := c.Watch(context.Background(), "a/", after, 0)
		require.ErrorContains(t, err, "compacted", after)
	}
	c.Changed(metastore.Event{Item: metastore.Item{Key: "a/2", Revision: 12}})
	c.Confirmed(12, true, freshness.None)
	changes, err := c.Watch(context.Background(), "a/", 11, 0)
	require.NoError(t, err)
	require.Len(t, changes.Events, 1)
}

func TestUnconfirmedCacheIsUnavailable(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := New(time.Second)
	c.now = func() time.Time { return now }
	_, _, err := c.Range("a/", "")
	require.Error(t, err, "no confirmation received yet")
	c.Changed(metastore.Event{Item: metastore.Item{Key: "a/1", Revision: 5}})
	c.Confirmed(5, false, freshness.None)
	_, _, err = c.Range("a/", "")
	require.Error(t, err, "a confirmation by another node must not make the cache available")
	c.Confirmed(5, true, freshness.None)
	page, _, err := c.Range("a/", "")
	require.NoError(t, err)
	require.Len(t, page.Items, 1)
	now = now.Add(2 * time.Second)
	_, err = c.Watch(context.Background(), "a/", 5, time.Second)
	require.Error(t, err, "the last confirmation by the store is too old")
}

func TestHistoryIsBounded(t *testing.T) {
	c := New(time.Minute)
	c.Listed(1)
	c.Confirmed(1, true, freshness.None)
	for i := range 3 * minHistory {
		c.Changed(metastore.Event{Item: metastore.Item{Key: "a/1", Revision: int64(i + 2)}})
	}
	c.Confirmed(3*minHistory+1, true, freshness.None)
	require.LessOrEqual(t, len(c.history), 2*minHistory)
	_, err := c.Watch(context.Background(), "a/", 1, 0)
	require.ErrorContains(t, err, "compacted")
	changes, err := c.Watch(context.Background(), "a/", 3*minHistory, 0)
	require.NoError(t, err)
	require.Len(t, changes.Events, 1)
}

// TestPromptWatchReturnsAtAConfirmation checks that a watch without changes returns when the
// cache is confirmed anew if that is wanted, and that it tells up to when it is complete.
func TestPromptWatchReturnsAtAConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, promptly := range []bool{false, true} {
			c := New(time.Minute)
			if promptly {
				c.Promptly()
			}
			c.Confirmed(5, true, 1)
			result := make(chan Changes)
			go func() {
				changes, err := c.Watch(context.Background(), "a/", 5, time.Second)
				require.NoError(t, err)
				result <- changes
			}()
			synctest.Wait()
			began := time.Now()
			c.Confirmed(5, true, 2)
			changes := <-result
			require.Equal(t, Changes{Position: 5, UpTo: 2}, changes)
			require.Equal(t, promptly, time.Since(began) == 0)
		}
	})
}

// TestWatchEndsWhenTheCacheIsTooOld guards against a hub that keeps its readers waiting on data
// that the store no longer confirms, beyond the time within which they must know of a removal.
func TestWatchEndsWhenTheCacheIsTooOld(t *testing.T) {
	const maxAge = time.Second
	for name, row := range map[string]struct {
		confirmedAgain, ends time.Duration // after the first confirmation
		err                  bool
	}{
		"not confirmed again": {ends: maxAge, err: true},
		"confirmed again":     {confirmedAgain: 950 * time.Millisecond, ends: 1700 * time.Millisecond},
		"confirmed once more": {confirmedAgain: 100 * time.Millisecond, ends: 1100 * time.Millisecond, err: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New(maxAge)
				c.Confirmed(5, true, 1)
				began := time.Now()
				if row.confirmedAgain > 0 {
					time.AfterFunc(row.confirmedAgain, func() { c.Confirmed(5, true, 2) })
				}
				<-time.After(900 * time.Millisecond)
				changes, err := c.Watch(context.Background(), "a/", 5, 800*time.Millisecond)
				require.Equal(t, row.err, err != nil)
				require.Empty(t, changes.Events)
				require.InDelta(t, row.ends, time.Since(began), float64(time.Microsecond))
			})
		})
	}
}
