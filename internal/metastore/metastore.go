// Package metastore is the port to the platform's metadata store: keys with
// revisions, conditional transactions, leases and watches. What must last
// stands there.
package metastore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Item is one key of the store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last change of the key.
	Revision int64
	// Created is the store revision that created the key.
	Created int64
	// Lease is the lease that the key hangs on; zero is none.
	Lease int64
}

// Event is one watched change; of a deleted key only Key and Revision are set.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a range of keys. Pages are no snapshot.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision when the page was read.
	Revision int64
}

// Condition holds when the key's revision is Revision; zero means that the key
// does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one key, under a lease unless Lease is zero.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is applied whole if all conditions hold, or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is the platform's metadata store. Every call is priced and counts
// against its rates. All methods return errors of this package.
type Store interface {
	// Get reads one key; ErrNotFound when it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads the keys with a prefix that come after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits until keys with the prefix change after a revision, or until
	// wait has passed, and returns the revision to go on from. ErrCompacted
	// when that history is gone.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit applies a transaction and returns its revision. ErrConflict when a
	// condition does not hold, ErrLeaseEnded when a lease is gone, ErrUnknown
	// when it may have been applied or may be applied later.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew renews a lease; ErrLeaseEnded when it is gone.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
}

// Errors of the metadata store.
var (
	Errors = errorx.NewNamespace("metastore")
	// ErrNotFound: the key does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrConflict: a condition does not hold; nothing was done.
	ErrConflict = Errors.NewType("conflict")
	// ErrLeaseEnded: the lease is gone; nothing was done.
	ErrLeaseEnded = Errors.NewType("lease_ended")
	// ErrCompacted: the history before this revision is gone.
	ErrCompacted = Errors.NewType("compacted")
	// ErrUnavailable: the store refused or was not reached; nothing was done.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrOverRate: the store refused the call since too many come; it is a kind of
	// ErrUnavailable.
	ErrOverRate = ErrUnavailable.NewSubtype("over_rate")
	// ErrUnknown: the call may have been carried out, or may be later.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
)

// StaleReader is a store that also reads cheaply what may be seconds old.
type StaleReader interface {
	// RangeStale is Range, and the page may be seconds old; its revision tells.
	RangeStale(ctx context.Context, prefix, after string) (Page, error)
}

// RangeStale reads a page cheaply and maybe late from a store that can, else surely.
func RangeStale(ctx context.Context, store Store, prefix, after string) (Page, error) {
	if late, ok := store.(StaleReader); ok {
		return late.RangeStale(ctx, prefix, after)
	}
	return store.Range(ctx, prefix, after)
}

// ListAll reads all pages of a range. A watch from the revision misses nothing.
func ListAll(ctx context.Context, store Store, prefix string) ([]Item, int64, error) {
	return listAll(ctx, store.Range, prefix)
}

// listAll returns the least revision of the pages: a later page may be older when
// pages are read late.
func listAll(ctx context.Context, read func(ctx context.Context, prefix, after string) (Page, error), prefix string) ([]Item, int64, error) {
	var all []Item
	var least int64
	after := ""
	for first := true; ; first = false {
		page, err := read(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first || page.Revision < least {
			least = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, least, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
