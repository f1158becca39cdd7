// Package memory implements a metadata store in memory with injectable faults, for
// tests and stand-ins.
package memory

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// pageItems is the maximum number of items on one page of a range.
const pageItems = 50

// firstRevision is the revision of an empty store.
const firstRevision = 1

// DefaultHistory is the default number of changes kept for watches.
const DefaultHistory = 10_000

// maxExpiryCheck is the longest interval at which a pending watch checks for expired
// leases.
const maxExpiryCheck = time.Second

// Store is a metadata store in memory, created by New. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// historyLimit is the number of changes kept for watches.
	historyLimit int
	now          func() time.Time
	revision     int64
	items        map[string]metastore.Item
	leases       map[int64]*lease
	history      []metastore.Event
	// dropped is the newest revision that is no longer in the history.
	dropped int64
	wake    chan struct{}
	// cut ends the watches that are waiting, and waiting counts them.
	cut     chan struct{}
	waiting int
	faults  Faults
	delayed []metastore.Txn
	calls   int
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Faults selects the faults of the store. The zero value means none.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseResponses applies transactions and returns ErrUnknown.
	LoseResponses bool
	// DelayCommits returns ErrUnknown for transactions and applies them when
	// ApplyDelayed is called.
	DelayCommits bool
	// StallWatches makes watches return no changes.
	StallWatches bool
	// OverRate refuses every call because of the rate limit.
	OverRate bool
	// StaleReads makes stale reads return the store's initial, empty state.
	StaleReads bool
}

var _ metastore.Store = (*Store)(nil)

// New returns an empty store whose leases expire by the given clock; nil means
// time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{historyLimit: DefaultHistory, now: now, revision: firstRevision, items: map[string]metastore.Item{}, leases: map[int64]*lease{}, wake: make(chan struct{}), cut: make(chan struct{})}
}

// KeepHistory sets the number of changes kept for watches.
func (s *Store) KeepHistory(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyLimit = changes
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// ApplyDelayed applies the delayed transactions whose conditions are still met.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		_, _ = s.apply(txn) // the caller has already received ErrUnknown
	}
	s.delayed = nil
}

// DropHistory drops the history of all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.revision
	s.history = nil
	s.wakeWatches()
}

// CutWatches cuts the watches that are waiting and returns their number. Nothing else fails.
func (s *Store) CutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.waiting
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Write stores a value unconditionally, as an operator does.
func (s *Store) Write(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.apply(metastore.Txn{Puts: []metastore.Put{{Key: key, Value: value}}}) // cannot conflict: it has no conditions
	return revision
}

// Remove deletes a key unconditionally.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(metastore.Txn{Deletes: []string{key}}) // cannot conflict: it has no conditions
}

// wakeWatches wakes all pending watches. The caller holds s.mu.
func (s *Store) wakeWatches() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// beginCall counts a call, ends expired leases, and returns the error of an active fault.
func (s *Store) beginCall() error {
	s.calls++
	s.expire()
	if s.faults.Down {
		return metastore.ErrUnavailable.New("down")
	}
	if s.faults.OverRate {
		return metastore.ErrOverRate.New("too many calls")
	}
	return nil
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if !s.now().Before(l.until) {
			s.end(id)
		}
	}
}

// end removes a lease with its keys. The caller holds s.mu.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			_, _ = s.apply(metastore.Txn{Deletes: []string{key}}) // cannot conflict: it has no conditions
		}
	}
}

// Get implements metastore.Store.
func (s *Store) Get(_ context.Context, key string) (metastore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return metastore.Item{}, err
	}
	item, ok := s.items[key]
	if !ok {
		return metastore.Item{}, metastore.ErrNotFound.New("%s", key)
	}
	return item, nil
}

// Range implements metastore.Store.
func (s *Store) Range(_ context.Context, prefix, after string) (metastore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return metastore.Page{}, err
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := metastore.Page{Revision: s.revision, More: len(keys) > pageItems}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	return page, nil
}

// RangeStale implements metastore.StaleReader.
func (s *Store) RangeStale(ctx context.Context, prefix, after string) (metastore.Page, error) {
	s.mu.Lock()
	old := s.faults.StaleReads && !s.faults.Down
	s.mu.Unlock()
	if old {
		return metastore.Page{Revision: firstRevision}, nil
	}
	return s.Range(ctx, prefix, after)
}

// Watch implements metastore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	cut, done := s.beginWait()
	defer done()
	for first := true; ; first = false {
		events, revision, wake, expiry, err := s.poll(prefix, after, first)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-wake:
		case <-time.After(expiry):
		case <-timer.C:
			return nil, revision, nil
		case <-cut:
			return nil, 0, metastore.ErrUnknown.New("the watch was cut")
		case <-ctx.Done():
			return nil, 0, metastore.ErrUnknown.Wrap(ctx.Err(), "watch")
		}
	}
}

// beginWait counts a watch until done is called. cut is closed when waiting watches are cut.
func (s *Store) beginWait() (cut <-chan struct{}, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	return s.cut, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}
}

// poll returns the changes for a watch, the revision to continue from, a channel that is
// closed at the next change, and the time until the next lease can expire. Only the first
// poll of a watch fails when the history was dropped; a pending watch is not notified.
func (s *Store) poll(prefix string, after int64, first bool) ([]metastore.Event, int64, <-chan struct{}, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.calls++
	}
	s.expire()
	if s.faults.Down {
		return nil, 0, nil, 0, metastore.ErrUnavailable.New("down")
	}
	if first && (after < s.dropped || after > s.revision) {
		return nil, 0, nil, 0, metastore.ErrCompacted.New("revision %d", after)
	}
	var events []metastore.Event
	for _, e := range s.history {
		if !s.faults.StallWatches && e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	revision := s.revision
	if s.faults.StallWatches || s.dropped > after {
		revision = after
	}
	return events, revision, s.wake, s.nextExpiry(), nil
}

// nextExpiry returns the time until the next lease can expire. The caller holds s.mu.
func (s *Store) nextExpiry() time.Duration {
	next := maxExpiryCheck
	for _, l := range s.leases {
		next = min(next, l.until.Sub(s.now()))
	}
	return max(next, time.Millisecond)
}

// Commit implements metastore.Store.
func (s *Store) Commit(_ context.Context, txn metastore.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	if s.faults.DelayCommits {
		s.delayed = append(s.delayed, txn)
		return 0, metastore.ErrUnknown.New("no answer")
	}
	revision, err := s.apply(txn)
	if s.faults.LoseResponses {
		return 0, metastore.ErrUnknown.New("no answer")
	}
	return revision, err
}

// apply applies a transaction. The caller holds s.mu.
func (s *Store) apply(txn metastore.Txn) (int64, error) {
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			return 0, metastore.ErrConflict.New("%s", condition.Key)
		}
	}
	for _, put := range txn.Puts {
		if _, exists := s.leases[put.Lease]; put.Lease != 0 && !exists {
			return 0, metastore.ErrLeaseEnded.New("lease %d", put.Lease)
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		item := metastore.Item{Key: put.Key, Value: slices.Clone(put.Value), Revision: s.revision, Created: s.items[put.Key].Created, Lease: put.Lease}
		if item.Created == 0 {
			item.Created = s.revision
		}
		s.items[put.Key] = item
		s.history = append(s.history, metastore.Event{Item: item})
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
		s.history = append(s.history, metastore.Event{Item: metastore.Item{Key: key, Revision: s.revision}, Deleted: true})
	}
	s.trimHistory()
	s.wakeWatches()
	return s.revision, nil
}

// trimHistory drops the oldest changes beyond the kept history. The caller holds s.mu.
func (s *Store) trimHistory() {
	excess := len(s.history) - s.historyLimit
	if excess <= 0 {
		return
	}
	s.dropped = s.history[excess-1].Revision
	s.history = s.history[excess:]
}

// Grant implements metastore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return 0, err
	}
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, until: s.now().Add(ttl)}
	return s.revision, nil
}

// Renew implements metastore.Store.
func (s *Store) Renew(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return err
	}
	l, exists := s.leases[id]
	if !exists {
		return metastore.ErrLeaseEnded.New("lease %d", id)
	}
	l.until = s.now().Add(l.ttl)
	return nil
}

// End implements metastore.Store.
func (s *Store) End(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(); err != nil {
		return err
	}
	s.end(id)
	return nil
}
