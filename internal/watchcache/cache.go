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

	"github.com/comfreyfront/comfreyfront/internal/freshness"
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
	// promptly makes watches return when the data is confirmed anew, without changes too.
	promptly bool

	mu      sync.Mutex
	items   map[string]metastore.Item
	history []metastore.Event
	// oldest is the revision after which the history is complete.
	oldest      int64
	position    int64
	confirmedAt time.Time
	// upTo is the instant up to which the cache contains all changes.
	upTo freshness.Instant
	wake chan struct{}
}

// Changes are the result of a watch of a cache.
type Changes struct {
	Events []metastore.Event
	// Position is the revision to continue from.
	Position int64
	// UpTo is the instant up to which the cache contained all changes when Events were read.
	UpTo freshness.Instant
}

// New returns an empty cache that serves requests for up to maxAge after each
// confirmation by the store.
func New(maxAge time.Duration) *Cache {
	return &Cache{maxAge: maxAge, now: time.Now, items: map[string]metastore.Item{}, wake: make(chan struct{})}
}

// Promptly makes watches return as soon as the store confirms the data anew, so that their
// callers can be sure of it. It must be called before the cache is used.
func (c *Cache) Promptly() { c.promptly = true }

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
// which the cache serves requests. upTo is the instant up to which all changes are contained,
// or freshness.None if that is not known.
func (c *Cache) Confirmed(position int64, direct bool, upTo freshness.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	advanced := position > c.position
	c.position = max(c.position, position)
	if direct {
		c.confirmedAt = c.now()
	}
	advanced = advanced || c.promptly && upTo > c.upTo
	c.upTo = max(c.upTo, upTo)
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

// Range returns a page of the keys with a prefix that sort after the given key, and the
// instant up to which it contains all changes.
func (c *Cache) Range(prefix, after string) (metastore.Page, freshness.Instant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.check(); err != nil {
		return metastore.Page{}, freshness.None, err
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
	return page, c.upTo, nil
}

// Watch waits until keys with the prefix change after a revision, or until wait has
// passed. It returns ErrUnavailable as soon as the store's last confirmation is too old.
func (c *Cache) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	expired := time.NewTimer(wait)
	defer expired.Stop()
	changes, wake, usable, err := c.since(prefix, after)
	aged := time.NewTimer(usable)
	defer aged.Stop()
	for initial := changes.UpTo; err == nil && len(changes.Events) == 0; {
		if c.promptly && changes.UpTo > initial {
			return changes, nil
		}
		select {
		case <-wake:
		case <-aged.C:
		case <-expired.C:
			changes, _, _, err = c.since(prefix, after)
			return changes, err
		case <-ctx.Done():
			return Changes{}, metastore.ErrUnavailable.Wrap(ctx.Err(), "watch")
		}
		changes, wake, usable, err = c.since(prefix, after)
		aged.Reset(usable)
	}
	return changes, err
}

// since returns the changes of keys with a prefix after a revision, a channel that is
// closed when the position or, with Promptly, the confirmed instant advances, and the time
// until the cache is too old unless it is confirmed again.
func (c *Cache) since(prefix string, after int64) (Changes, <-chan struct{}, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.check(); err != nil {
		return Changes{}, nil, 0, err
	}
	if after < c.oldest {
		return Changes{}, nil, 0, metastore.ErrCompacted.New("revision %d", after)
	}
	changes := Changes{Position: max(c.position, after), UpTo: c.upTo}
	for _, e := range c.history {
		if e.Revision > after && e.Revision <= c.position && strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	slices.SortStableFunc(changes.Events, func(a, b metastore.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	usable := c.confirmedAt.Add(c.maxAge).Sub(c.now()) + time.Nanosecond // maxAge itself is not too old
	return changes, c.wake, usable, nil
}
