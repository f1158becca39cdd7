// Package metastore defines the interface to the platform's metadata store: keys with
// revisions, conditional transactions, leases and watches. All durable state is stored
// there.
package metastore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Item is one key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store revision of the last change of the key.
	Revision int64
	// Created is the store revision that created the key.
	Created int64
	// Lease is the lease that the key is attached to; zero means none.
	Lease int64
}

// Event is one watched change. For a deleted key only Key and Revision are set.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of a range of keys. Several pages do not form a consistent snapshot.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's revision when the page was read.
	Revision int64
}

// Condition is met when the key's revision is Revision; zero means that the key does
// not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one key and attaches it to Lease unless that is zero.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction. It is applied atomically if all conditions are met, else not at
// all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is the platform's metadata store. Every call has a cost and counts against the
// store's rate limits. All methods return errors of this package.
type Store interface {
	// Get reads one key. It returns ErrNotFound when the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads one page of the keys with a prefix that sort after the key after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits until keys with the prefix change after a revision, or until wait has
	// passed, and returns the changes and the revision to continue from. It returns
	// ErrCompacted when the history after that revision is no longer available, and may
	// return ErrCut when it knows that only the watch was cut.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit applies a transaction and returns its revision. It returns ErrConflict when
	// a condition is not met, ErrLeaseEnded when a lease has ended, and ErrUnknown when
	// the transaction may have been applied or may be applied later.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew renews a lease. It returns ErrLeaseEnded when the lease has ended.
	Renew(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
}

// Errors of the metadata store.
var (
	Errors = errorx.NewNamespace("metastore")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrConflict means that a condition is not met; nothing was changed.
	ErrConflict = Errors.NewType("conflict")
	// ErrLeaseEnded means that the lease has ended; nothing was changed.
	ErrLeaseEnded = Errors.NewType("lease_ended")
	// ErrCompacted means that the requested history is no longer available.
	ErrCompacted = Errors.NewType("compacted")
	// ErrUnavailable means that the store refused the call or was not reached; nothing
	// was changed.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrOverRate means that the store refused the call because of its rate limit. It is
	// a subtype of ErrUnavailable.
	ErrOverRate = ErrUnavailable.NewSubtype("over_rate")
	// ErrCut means that a watch ended without an answer while the store answers other calls.
	ErrCut = Errors.NewType("cut", errorx.Temporary())
	// ErrUnknown means that the call may have taken effect, or may do so later.
	ErrUnknown = Errors.NewType("unknown", errorx.Temporary())
)

// StaleReader is implemented by stores that also offer cheap reads that may be stale.
type StaleReader interface {
	// RangeStale is like Range, but the page may be seconds old; Page.Revision is
	// the revision at which it was read.
	RangeStale(ctx context.Context, prefix, after string) (Page, error)
}

// RangeStale reads a possibly stale page if store implements StaleReader, else it calls
// Range.
func RangeStale(ctx context.Context, store Store, prefix, after string) (Page, error) {
	if reader, ok := store.(StaleReader); ok {
		return reader.RangeStale(ctx, prefix, after)
	}
	return store.Range(ctx, prefix, after)
}

// Reconnector is implemented by stores that notice when an unreachable store answers again.
type Reconnector interface {
	// Reconnected returns a channel that is closed when the store answers again, or nil if
	// it answers now.
	Reconnected() <-chan struct{}
}

// Pause waits before a failed call is retried: for the given time, or until the store
// answers again if store implements Reconnector. It returns false if ctx ends first.
func Pause(ctx context.Context, store Store, pause time.Duration) bool {
	var reconnected <-chan struct{}
	if r, ok := store.(Reconnector); ok {
		reconnected = r.Reconnected()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-reconnected:
	case <-ctx.Done():
		return false
	}
	return true
}

// ListAll reads all pages of a range. It returns a revision from which a watch misses no
// change.
func ListAll(ctx context.Context, store Store, prefix string) ([]Item, int64, error) {
	return listAll(ctx, store.Range, prefix)
}

// listAll reads all pages of a range and returns the lowest revision of the pages, since
// a later page may be older when reads are stale.
func listAll(ctx context.Context, read func(ctx context.Context, prefix, after string) (Page, error), prefix string) ([]Item, int64, error) {
	var items []Item
	var lowest int64
	after := ""
	for first := true; ; first = false {
		page, err := read(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first || page.Revision < lowest {
			lowest = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, lowest, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
