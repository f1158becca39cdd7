// Package memory is a metadata store in memory with faults on demand, for tests
// and stand-ins.
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

// pageItems is the most items of one page of a range.
const pageItems = 50

// firstRevision is the revision of an empty store.
const firstRevision = 1

// DefaultHistory is how many changes a watch can go back.
const DefaultHistory = 10_000

// maxLapseCheck bounds the time between two looks of a waiting watch at the
// leases.
const maxLapseCheck = time.Second

// Store is a metadata store in memory. It is safe for concurrent use; New makes
// one.
type Store struct {
	mu sync.Mutex
	// kept is how many changes a watch can go back.
	kept     int
	now      func() time.Time
	revision int64
	items    map[string]metastore.Item
	leases   map[int64]*lease
	history  []metastore.Event
	// dropped is the newest revision that is out of the history.
	dropped int64
	wake    chan struct{}
	faults  Faults
	late    []metastore.Txn
	calls   int
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Faults of the store. The zero value is none.
type Faults struct {
	// Down: every call fails and nothing is done.
	Down bool
	// LoseResponses: transactions are applied and not answered.
	LoseResponses bool
	// DelayCommits: transactions are not answered and applied when ApplyDelayed is called.
	DelayCommits bool
	// StallWatches: watches hear nothing.
	StallWatches bool
	// OverRate: every call is refused for its rate.
	OverRate bool
	// StaleReads: late reads show the store as it was at the beginning.
	StaleReads bool
}

var _ metastore.Store = (*Store)(nil)

// New returns an empty store whose leases run by the given clock; nil is
// time.Now.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{kept: DefaultHistory, now: now, revision: firstRevision, items: map[string]metastore.Item{}, leases: map[int64]*lease{}, wake: make(chan struct{})}
}

// KeepHistory sets how many changes a watch can go back.
func (s *Store) KeepHistory(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = changes
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.stir()
}

// ApplyDelayed applies the transactions that were held back, if their conditions
// still hold.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.late {
		_, _ = s.apply(txn) // nobody waits for the outcome
	}
	s.late = nil
}

// DropHistory forgets all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.revision
	s.history = nil
	s.stir()
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Write puts a value without conditions, as the operator does.
func (s *Store) Write(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.apply(metastore.Txn{Puts: []metastore.Put{{Key: key, Value: value}}}) // has no condition
	return revision
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(metastore.Txn{Deletes: []string{key}}) // has no condition
}

// stir wakes all watches; s.mu is held.
func (s *Store) stir() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// enter counts a call, lets leases end, and fails when the store is down.
func (s *Store) enter() error {
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

// end removes a lease with its keys; s.mu is held.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			_, _ = s.apply(metastore.Txn{Deletes: []string{key}}) // has no condition
		}
	}
}

// Get implements metastore.Store.
func (s *Store) Get(_ context.Context, key string) (metastore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
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
	if err := s.enter(); err != nil {
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
	for first := true; ; first = false {
		events, revision, wake, lapse, err := s.look(prefix, after, first)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-wake:
		case <-time.After(lapse):
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, metastore.ErrUnknown.Wrap(ctx.Err(), "watch")
		}
	}
}

// look returns what a watch hears now, and the time until the next lease can
// end. A watch that waits is not told that the history was dropped.
func (s *Store) look(prefix string, after int64, first bool) ([]metastore.Event, int64, <-chan struct{}, time.Duration, error) {
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
	return events, revision, s.wake, s.nextLapse(), nil
}

// nextLapse returns the time until the next lease can end; s.mu is held.
func (s *Store) nextLapse() time.Duration {
	next := maxLapseCheck
	for _, l := range s.leases {
		next = min(next, l.until.Sub(s.now()))
	}
	return max(next, time.Millisecond)
}

// Commit implements metastore.Store.
func (s *Store) Commit(_ context.Context, txn metastore.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return 0, err
	}
	if s.faults.DelayCommits {
		s.late = append(s.late, txn)
		return 0, metastore.ErrUnknown.New("no answer")
	}
	revision, err := s.apply(txn)
	if s.faults.LoseResponses {
		return 0, metastore.ErrUnknown.New("no answer")
	}
	return revision, err
}

// apply carries out a transaction; s.mu is held.
func (s *Store) apply(txn metastore.Txn) (int64, error) {
	for _, condition := range txn.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			return 0, metastore.ErrConflict.New("%s", condition.Key)
		}
	}
	for _, put := range txn.Puts {
		if _, stands := s.leases[put.Lease]; put.Lease != 0 && !stands {
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
	s.forget()
	s.stir()
	return s.revision, nil
}

// forget drops the changes beyond the kept history; s.mu is held.
func (s *Store) forget() {
	excess := len(s.history) - s.kept
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
	if err := s.enter(); err != nil {
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
	if err := s.enter(); err != nil {
		return err
	}
	l, stands := s.leases[id]
	if !stands {
		return metastore.ErrLeaseEnded.New("lease %d", id)
	}
	l.until = s.now().Add(l.ttl)
	return nil
}

// End implements metastore.Store.
func (s *Store) End(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(); err != nil {
		return err
	}
	s.end(id)
	return nil
}
