// Package watchcache caches the keys of one prefix of the metadata store, as received by
// this node's follower, and serves the watches of other nodes from the cache, so that
// the number of watches at the store does not grow with the fleet.
package watchcache

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Size limits of a cache.
const (
	// minHistory is the minimum number of recent changes that watches can go back. Older
	// ones are dropped when the history exceeds twice that number.
	minHistory = 2048
	// maxPageItems is the maximum number of items in one page.
	maxPageItems = 500
)

// Cache caches the keys of one prefix. It is safe for concurrent use; use New to create
// one.
type Cache struct {
	// maxAge is how long the cache serves requests after the store's last confirmation.
	maxAge time.Duration
	now    func() time.Time

	mu      sync.Mutex
	items   map[string]metastore.Item
	history []metastore.Event
	// oldest is the revision after which the history is complete.
	oldest      int64
	position    int64
	confirmedAt time.Time
	wake        chan struct{}
}

// New returns an empty cache that serves requests for up to maxAge after each
// confirmation by the store.
func New(maxAge time.Duration) *Cache {
	return &Cache{maxAge: maxAge, now: time.Now, items: map[string]metastore.Item{}, wake: make(chan struct{})}
}

// Changed applies a change of a key.
func (c *Cache) Changed(e metastore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Deleted {
		delete(c.items, e.Key)
	} else {
		c.items[e.Key] = e.Item
	}
	c.history = append(c.history, e)
	if len(c.history) > 2*minHistory {
		dropped := c.history[:minHistory]
		for _, old := range dropped {
			c.oldest = max(c.oldest, old.Revision)
		}
		c.history = slices.Clone(c.history[minHistory:])
	}
}

// Listed records that the follower has listed the whole range again at a revision. The
// history lacks keys that were created and deleted since the last confirmation, although
// a watch from a revision in between may know them. Such watches must list the range
// again to detect that those keys were deleted.
func (c *Cache) Listed(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldest = max(c.oldest, revision)
}

// Confirmed records that all changes up to a revision have been received. direct means
// that the store itself confirmed it; other confirmations do not extend the time for
// which the cache serves requests.
func (c *Cache) Confirmed(position int64, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	advanced := position > c.position
	c.position = max(c.position, position)
	if direct {
		c.confirmedAt = c.now()
	}
	if advanced {
		close(c.wake)
		c.wake = make(chan struct{})
	}
}

// check returns ErrUnavailable if the store's last confirmation is too old. The caller
// holds c.mu.
func (c *Cache) check() error {
	if c.position == 0 || c.now().Sub(c.confirmedAt) > c.maxAge {
		return metastore.ErrUnavailable.New("cache not recently confirmed by the store")
	}
	return nil
}

// Range returns a page of the keys with a prefix that sort after the given key.
func (c *Cache) Range(prefix, after string) (metastore.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.check(); err != nil {
		return metastore.Page{}, err
	}
	page := metastore.Page{Revision: c.position}
	for key, item := range c.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b metastore.Item) int { return cmp.Compare(a.Key, b.Key) })
	if len(page.Items) > maxPageItems {
		page.Items, page.More = page.Items[:maxPageItems], true
	}
	return page, nil
}

// Watch waits until keys with the prefix change after a revision, or until wait has
// passed.
func (c *Cache) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, position, wake, err := c.since(prefix, after)
		if err != nil || len(events) > 0 {
			return events, position, err
		}
		select {
		case <-wake:
		case <-timer.C:
			return nil, max(position, after), nil
		case <-ctx.Done():
			return nil, 0, metastore.ErrUnavailable.Wrap(ctx.Err(), "watch")
		}
	}
}

// since returns the changes of keys with a prefix after a revision, the current
// position, and a channel that is closed when the position advances.
func (c *Cache) since(prefix string, after int64) ([]metastore.Event, int64, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.check(); err != nil {
		return nil, 0, nil, err
	}
	if after < c.oldest {
		return nil, 0, nil, metastore.ErrCompacted.New("revision %d", after)
	}
	var events []metastore.Event
	for _, e := range c.history {
		if e.Revision > after && e.Revision <= c.position && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b metastore.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return events, c.position, c.wake, nil
}
