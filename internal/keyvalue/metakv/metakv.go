// Package metakv implements keyvalue.Store on top of the platform's metadata store.
//
// The error of a write states its outcome: ErrUnavailable means that the write did not
// take effect, ErrOutcomeUnknown that it was sent and no response was received. A read
// that gets no response always fails with ErrUnavailable.
package metakv

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// DefaultTimeout is the default of Store.Timeout.
const DefaultTimeout = 2 * time.Second

// Store is a keyvalue.Store backed by a metastore.Store. It does not retry calls and is
// safe for concurrent use.
type Store struct {
	// Metadata is the platform's metadata store.
	Metadata metastore.Store
	// Timeout limits one call; a Watch may take its wait time plus Timeout. Zero means
	// DefaultTimeout.
	Timeout time.Duration
}

var _ keyvalue.Store = (*Store)(nil)

func (s *Store) withTimeout(ctx context.Context, extra time.Duration) (context.Context, context.CancelFunc) {
	timeout := s.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout+extra)
}

// Get implements keyvalue.Store.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Value, error) {
	ctx, cancel := s.withTimeout(ctx, 0)
	defer cancel()
	item, err := s.Metadata.Get(ctx, key)
	if err != nil {
		return keyvalue.Value{}, readError(err)
	}
	return valueOf(item), nil
}

// List implements keyvalue.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]keyvalue.Value, int64, error) {
	ctx, cancel := s.withTimeout(ctx, 0)
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

// CompareAndSwap implements keyvalue.Store. After a conflict it reads the current value
// with a second call; the returned value is empty if that call fails.
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

// current returns the current value of a key, or an empty value if it cannot be read.
func (s *Store) current(ctx context.Context, key string) keyvalue.Value {
	value, err := s.Get(ctx, key)
	if err != nil {
		return keyvalue.Value{}
	}
	return value
}

// Delete implements keyvalue.Store. It returns ErrNotFound if the key does not exist and
// ErrConflict if the key has another revision.
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
	ctx, cancel := s.withTimeout(ctx, 0)
	defer cancel()
	revision, err := s.Metadata.Commit(ctx, txn)
	return revision, writeError(err)
}

// Grant implements keyvalue.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
	ctx, cancel := s.withTimeout(ctx, 0)
	defer cancel()
	lease, err := s.Metadata.Grant(ctx, ttl)
	return keyvalue.LeaseID(lease), writeError(err)
}

// KeepAlive implements keyvalue.Store.
func (s *Store) KeepAlive(ctx context.Context, lease keyvalue.LeaseID) error {
	ctx, cancel := s.withTimeout(ctx, 0)
	defer cancel()
	return writeError(s.Metadata.Renew(ctx, int64(lease)))
}

// Revoke implements keyvalue.Store.
func (s *Store) Revoke(ctx context.Context, lease keyvalue.LeaseID) error {
	ctx, cancel := s.withTimeout(ctx, 0)
	defer cancel()
	return writeError(s.Metadata.End(ctx, int64(lease)))
}

// Watch implements keyvalue.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]keyvalue.Change, int64, error) {
	ctx, cancel := s.withTimeout(ctx, wait)
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
