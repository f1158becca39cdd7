// Package metakv is the key-value port of the project's own interface on top of
// the platform's metadata store.
//
// Errors tell what happened to a write. ErrUnavailable: it did not take effect.
// ErrOutcomeUnknown: it was sent and no reply came. A read that fails is always
// ErrUnavailable.
package metakv

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// DefaultTimeout bounds one call.
const DefaultTimeout = 2 * time.Second

// Store is a keyvalue.Store. It repeats no call by itself and is safe for
// concurrent use.
type Store struct {
	// Metadata is the platform's store.
	Metadata metastore.Store
	// Timeout bounds one call, and a watch beyond its wait; DefaultTimeout if zero.
	Timeout time.Duration
}

var _ keyvalue.Store = (*Store)(nil)

func (s *Store) bound(ctx context.Context, more time.Duration) (context.Context, context.CancelFunc) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout+more)
}

// Get implements keyvalue.Store.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Value, error) {
	ctx, cancel := s.bound(ctx, 0)
	defer cancel()
	item, err := s.Metadata.Get(ctx, key)
	if err != nil {
		return keyvalue.Value{}, readError(err)
	}
	return valueOf(item), nil
}

// List implements keyvalue.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]keyvalue.Value, int64, error) {
	ctx, cancel := s.bound(ctx, 0)
	defer cancel()
	items, revision, err := metastore.ListAll(ctx, s.Metadata, prefix)
	if err != nil {
		return nil, 0, readError(err)
	}
	values := make([]keyvalue.Value, 0, len(items))
	for _, item := range items {
		values = append(values, valueOf(item))
	}
	return values, revision, nil
}

// CompareAndSwap implements keyvalue.Store. The value that stands after a
// conflict takes a second call; it is empty when that one fails.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect int64, data []byte, lease keyvalue.LeaseID) (keyvalue.Value, error) {
	revision, err := s.commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Revision: expect}},
		Puts:       []metastore.Put{{Key: key, Value: data, Lease: int64(lease)}},
	})
	if errorx.IsOfType(err, keyvalue.ErrConflict) {
		return s.current(ctx, key), err
	}
	if err != nil {
		return keyvalue.Value{}, err
	}
	value := keyvalue.Value{Key: key, Data: data, Revision: revision, Lease: lease}
	if expect == 0 {
		value.CreateRevision = revision
	}
	return value, nil
}

// current returns what stands under a key; empty when it is not known.
func (s *Store) current(ctx context.Context, key string) keyvalue.Value {
	value, err := s.Get(ctx, key)
	if err != nil {
		return keyvalue.Value{}
	}
	return value
}

// Delete implements keyvalue.Store. ErrNotFound when the key does not exist,
// ErrConflict when it has another revision.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	_, err := s.commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Revision: expect}},
		Deletes:    []string{key},
	})
	if !errorx.IsOfType(err, keyvalue.ErrConflict) {
		return err
	}
	if _, missing := s.Get(ctx, key); errorx.IsOfType(missing, keyvalue.ErrNotFound) {
		return missing
	}
	return err
}

func (s *Store) commit(ctx context.Context, txn metastore.Txn) (int64, error) {
	ctx, cancel := s.bound(ctx, 0)
	defer cancel()
	revision, err := s.Metadata.Commit(ctx, txn)
	return revision, writeError(err)
}

// Grant implements keyvalue.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
	ctx, cancel := s.bound(ctx, 0)
	defer cancel()
	lease, err := s.Metadata.Grant(ctx, ttl)
	return keyvalue.LeaseID(lease), writeError(err)
}

// KeepAlive implements keyvalue.Store.
func (s *Store) KeepAlive(ctx context.Context, lease keyvalue.LeaseID) error {
	ctx, cancel := s.bound(ctx, 0)
	defer cancel()
	return writeError(s.Metadata.Renew(ctx, int64(lease)))
}

// Revoke implements keyvalue.Store.
func (s *Store) Revoke(ctx context.Context, lease keyvalue.LeaseID) error {
	ctx, cancel := s.bound(ctx, 0)
	defer cancel()
	return writeError(s.Metadata.End(ctx, int64(lease)))
}

// Watch implements keyvalue.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]keyvalue.Change, int64, error) {
	ctx, cancel := s.bound(ctx, wait)
	defer cancel()
	events, revision, err := s.Metadata.Watch(ctx, prefix, from, wait)
	if err != nil {
		return nil, from, readError(err)
	}
	changes := make([]keyvalue.Change, 0, len(events))
	for _, e := range events {
		changes = append(changes, keyvalue.Change{Value: valueOf(e.Item), Deleted: e.Deleted})
	}
	return changes, revision, nil
}

func valueOf(item metastore.Item) keyvalue.Value {
	return keyvalue.Value{
		Key: item.Key, Data: item.Value, CreateRevision: item.Created, Revision: item.Revision, Lease: keyvalue.LeaseID(item.Lease),
	}
}
