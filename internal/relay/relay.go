// Package relay reaches the metadata store through another node while this one
// is cut off from it or turned away.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Limits of calls.
const (
	// relayedTimeout bounds one call through a peer that does not wait.
	relayedTimeout = 900 * time.Millisecond
	// failuresToTurn is how many calls in a row must fail before calls go
	// through peers.
	failuresToTurn = 2
	// relayedWait is the longest that a watch through a peer waits.
	relayedWait = time.Second
)

// Peers returns stores that reach the platform's through other nodes, the best
// first.
type Peers func() []metastore.Store

// Store calls the metadata store directly, or through a peer while it does not
// answer here. It is safe for concurrent use.
type Store struct {
	direct metastore.Store
	peers  Peers
	urgent func() bool
	now    func() time.Time

	mu       sync.Mutex
	failures int
	probeAt  time.Time
	// probePause is the pause before the probe after the next one.
	probePause time.Duration
	// probing: a probe is under way.
	probing  bool
	patience patience
	// turned is closed when calls begin to go through peers.
	turned chan struct{}
}

var (
	_ metastore.Store       = (*Store)(nil)
	_ metastore.StaleReader = (*Store)(nil)
)

// New returns a store over a direct one. Urgent reports whether others wait for
// this node to reach the store again, so that it probes more often; nil is never.
func New(direct metastore.Store, peers Peers, urgent func() bool) *Store {
	if urgent == nil {
		urgent = func() bool { return false }
	}
	return &Store{direct: direct, peers: peers, urgent: urgent, now: time.Now, turned: make(chan struct{})}
}

// Connected reports whether the store answers this node itself.
func (s *Store) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures < failuresToTurn
}

// lost reports whether an error means that the store does not answer.
func lost(err error) bool {
	return err != nil && (errorx.IsOfType(err, metastore.ErrUnavailable) || errorx.IsOfType(err, metastore.ErrUnknown))
}

// directly makes one call at the store itself, and waits as long as answers take
// there lately; bytes is the size of what is sent.
func (s *Store) directly(ctx context.Context, bytes int, call func(context.Context, metastore.Store) error) error {
	s.mu.Lock()
	timeout := s.patience.timeout(bytes)
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := s.now()
	err := call(callCtx, s.direct)
	switch ended := callCtx.Err(); {
	case lost(err) && errors.Is(ended, context.DeadlineExceeded):
		s.missed()
	case lost(err) && ended != nil: // the caller gave it up
	case lost(err):
		s.note(err)
	default:
		s.note(err)
		s.mu.Lock()
		s.patience.answered(s.now().Sub(began))
		s.mu.Unlock()
	}
	return err
}

// do makes one call, directly or through a peer. A call that changes something
// and may have been done is not repeated here.
func (s *Store) do(ctx context.Context, changes bool, bytes int, call func(context.Context, metastore.Store) error) error {
	var err error
	if s.tryDirect() {
		err = s.directly(ctx, bytes, call)
		if !lost(err) || changes && errorx.IsOfType(err, metastore.ErrUnknown) {
			return err
		}
	}
	for _, peer := range s.peers() {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, relayedTimeout)
		err = call(callCtx, peer)
		cancel()
		if !lost(err) || changes && errorx.IsOfType(err, metastore.ErrUnknown) {
			return err
		}
	}
	if err == nil {
		err = metastore.ErrUnavailable.New("no way to the store")
	}
	return err
}

// Get implements metastore.Store.
func (s *Store) Get(ctx context.Context, key string) (item metastore.Item, err error) {
	err = s.do(ctx, false, 0, func(ctx context.Context, store metastore.Store) (err error) {
		item, err = store.Get(ctx, key)
		return err
	})
	return item, err
}

// RangeStale implements metastore.StaleReader; peers read surely.
func (s *Store) RangeStale(ctx context.Context, prefix, after string) (page metastore.Page, err error) {
	err = s.do(ctx, false, rangeBytes, func(ctx context.Context, store metastore.Store) (err error) {
		page, err = metastore.RangeStale(ctx, store, prefix, after)
		return err
	})
	return page, err
}

// Range implements metastore.Store.
func (s *Store) Range(ctx context.Context, prefix, after string) (page metastore.Page, err error) {
	err = s.do(ctx, false, rangeBytes, func(ctx context.Context, store metastore.Store) (err error) {
		page, err = store.Range(ctx, prefix, after)
		return err
	})
	return page, err
}

// Commit implements metastore.Store.
func (s *Store) Commit(ctx context.Context, txn metastore.Txn) (revision int64, err error) {
	err = s.do(ctx, true, sizeOf(txn), func(ctx context.Context, store metastore.Store) (err error) {
		revision, err = store.Commit(ctx, txn)
		return err
	})
	return revision, err
}

// Grant implements metastore.Store. A lease that may have been granted ends by
// itself, so that another can be asked for.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (lease int64, err error) {
	err = s.do(ctx, false, 0, func(ctx context.Context, store metastore.Store) (err error) {
		lease, err = store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// Renew implements metastore.Store.
func (s *Store) Renew(ctx context.Context, lease int64) error {
	return s.do(ctx, false, 0, func(ctx context.Context, store metastore.Store) error { return store.Renew(ctx, lease) })
}

// End implements metastore.Store.
func (s *Store) End(ctx context.Context, lease int64) error {
	return s.do(ctx, false, 0, func(ctx context.Context, store metastore.Store) error { return store.End(ctx, lease) })
}

// Watch implements metastore.Store. A watch that waits directly is given up when
// calls begin to go through peers.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	s.mu.Lock()
	turned, direct := s.turned, s.failures < failuresToTurn
	s.mu.Unlock()
	if direct {
		return s.watchDirect(ctx, turned, prefix, after, wait)
	}
	var events []metastore.Event
	var revision int64
	err := s.do(ctx, false, 0, func(ctx context.Context, store metastore.Store) (err error) {
		events, revision, err = store.Watch(ctx, prefix, after, min(wait, relayedWait/2))
		return err
	})
	return events, revision, err
}

func (s *Store) watchDirect(ctx context.Context, turned <-chan struct{}, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-turned:
			cancel()
		case <-ctx.Done():
		}
	}()
	events, revision, err := s.direct.Watch(ctx, prefix, after, wait)
	if ctx.Err() == nil {
		s.note(err)
	}
	return events, revision, err
}
