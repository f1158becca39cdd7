// Package memstore is an in-memory keyvalue.Store for tests. It counts calls and can
// inject the known faults of the platform's service.
package memstore

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// historyLimit is the maximum number of past changes that a watch can return.
const historyLimit = 10_000

// Store is one client's view of an in-memory key-value service. Views created by View
// share the data; each has its own faults and counters. All methods are safe for
// concurrent use.
type Store struct {
	shared *data
	faults faults
}

// data is the state that all views share.
type data struct {
	mu        sync.Mutex
	now       func() time.Time
	revision  int64
	compacted int64
	nextLease keyvalue.LeaseID
	values    map[string]keyvalue.Value
	leases    map[keyvalue.LeaseID]*lease
	history   []keyvalue.Change
	changed   chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ keyvalue.Store = (*Store)(nil)

// New returns an empty store that uses now as the clock of its leases; nil means
// time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{shared: &data{
		now:     now,
		values:  map[string]keyvalue.Value{},
		leases:  map[keyvalue.LeaseID]*lease{},
		changed: make(chan struct{}),
	}}
}

// View returns another view of the same data, without faults.
func (s *Store) View() *Store {
	return &Store{shared: s.shared}
}

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Value, error) {
	if err := s.begin(ctx, OpGet, key); err != nil {
		return keyvalue.Value{}, err
	}
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	value, ok := d.values[key]
	if !ok {
		return keyvalue.Value{}, keyvalue.ErrNotFound.New("key %q", key)
	}
	return value, nil
}

// List reads all keys with a prefix, in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]keyvalue.Value, int64, error) {
	if err := s.begin(ctx, OpList, prefix); err != nil {
		return nil, 0, err
	}
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	var found []keyvalue.Value
	for key, value := range d.values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, d.revision, nil
}

// CompareAndSwap writes data if the key's revision equals expect.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect int64, data []byte, id keyvalue.LeaseID) (keyvalue.Value, error) {
	if err := s.begin(ctx, OpCompareAndSwap, key); err != nil {
		return keyvalue.Value{}, err
	}
	if s.faults.shouldDropWrite() {
		return keyvalue.Value{}, keyvalue.ErrOutcomeUnknown.New("the write of %q timed out", key)
	}
	value, err := s.shared.compareAndSwap(key, expect, data, id)
	if s.faults.shouldLoseReply() {
		return keyvalue.Value{}, keyvalue.ErrOutcomeUnknown.New("the response to the write of %q was lost", key)
	}
	return value, err
}

func (d *data) compareAndSwap(key string, expect int64, data []byte, id keyvalue.LeaseID) (keyvalue.Value, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if _, ok := d.leases[id]; id != 0 && !ok {
		return keyvalue.Value{}, keyvalue.ErrLeaseLapsed.New("lease %d", id)
	}
	current, exists := d.values[key]
	if current.Revision != expect {
		return current, keyvalue.ErrConflict.New("key %q is at revision %d, not %d", key, current.Revision, expect)
	}
	d.revision++
	next := keyvalue.Value{Key: key, Data: bytes.Clone(data), CreateRevision: current.CreateRevision, Revision: d.revision, Lease: id}
	if !exists {
		next.CreateRevision = d.revision
	}
	d.values[key] = next
	d.appendHistory(keyvalue.Change{Value: next})
	return next, nil
}

// Delete removes a key whose revision equals expect.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	if err := s.begin(ctx, OpDelete, key); err != nil {
		return err
	}
	if s.faults.shouldDropWrite() {
		return keyvalue.ErrOutcomeUnknown.New("the delete of %q timed out", key)
	}
	err := s.shared.delete(key, expect)
	if s.faults.shouldLoseReply() {
		return keyvalue.ErrOutcomeUnknown.New("the response to the delete of %q was lost", key)
	}
	return err
}

func (d *data) delete(key string, expect int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	current, exists := d.values[key]
	if !exists {
		return keyvalue.ErrNotFound.New("key %q", key)
	}
	if current.Revision != expect {
		return keyvalue.ErrConflict.New("key %q is at revision %d, not %d", key, current.Revision, expect)
	}
	d.remove(key)
	return nil
}
