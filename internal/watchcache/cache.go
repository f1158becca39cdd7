// Package watchcache keeps what one node's follower saw of a prefix of the
// metadata store and answers the watches of other nodes from it, so that the
// store's watches do not grow with the fleet.
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

// Bounds of a cache.
const (
	// historyMost is how many changes a watch can go back.
	historyMost = 2048
	// pageItems is the most items of one page.
	pageItems = 500
)

// Cache holds the keys of one prefix. It is safe for concurrent use; New makes
// one.
type Cache struct {
	// fresh is how long the cache answers after the store last confirmed it.
	fresh time.Duration
	now   func() time.Time

	mu      sync.Mutex
	items   map[string]metastore.Item
	history []metastore.Event
	// oldest is the revision after which the history holds every change.
	oldest      int64
	position    int64
	confirmedAt time.Time
	wake        chan struct{}
}

// New returns an empty cache that answers for so long after each confirmation.
func New(fresh time.Duration) *Cache {
	return &Cache{fresh: fresh, now: time.Now, items: map[string]metastore.Item{}, wake: make(chan struct{})}
}

// Changed takes one change.
func (c *Cache) Changed(e metastore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Deleted {
		delete(c.items, e.Key)
	} else {
		c.items[e.Key] = e.Item
	}
	c.history = append(c.history, e)
	if len(c.history) > 2*historyMost {
		dropped := c.history[:historyMost]
		for _, old := range dropped {
			c.oldest = max(c.oldest, old.Revision)
		}
		c.history = slices.Clone(c.history[historyMost:])
	}
}

// Listed tells that the whole range was read anew at a revision. Keys that came and
// went since the last confirmation are not in the history, and a watch from a
// revision in between may know them: only a new reading tells that they are gone.
func (c *Cache) Listed(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oldest = max(c.oldest, revision)
}

// Confirmed tells that all changes up to a revision are in. Direct says that the
// store itself said so: only then does the cache answer others.
func (c *Cache) Confirmed(position int64, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved := position > c.position
	c.position = max(c.position, position)
	if direct {
		c.confirmedAt = c.now()
	}
	if moved {
		close(c.wake)
		c.wake = make(chan struct{})
	}
}

// check returns ErrUnavailable when the store has not confirmed the cache
// lately; c.mu is held.
func (c *Cache) check() error {
	if c.position == 0 || c.now().Sub(c.confirmedAt) > c.fresh {
		return metastore.ErrUnavailable.New("not confirmed by the store")
	}
	return nil
}

// Range reads the keys with a prefix that come after a key.
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
	if len(page.Items) > pageItems {
		page.Items, page.More = page.Items[:pageItems], true
	}
	return page, nil
}

// Watch waits until keys with the prefix change after a revision, or until wait
// has passed.
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
