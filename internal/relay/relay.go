// Package relay calls the metadata store through another node while this one cannot
// reach the store or is refused by it.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Limits of calls through peers.
const (
	// relayedTimeout bounds one call through a peer.
	relayedTimeout = 900 * time.Millisecond
	// failuresToRelay is the number of consecutive failed calls after which calls go
	// through peers.
	failuresToRelay = 2
	// relayedWait is twice the longest wait of a watch through a peer.
	relayedWait = time.Second
)

// Peers returns clients that call the platform's store through other nodes, the
// preferred one first.
type Peers func() []metastore.Store

// Store calls the metadata store directly, or through a peer while the store does not
// answer this node. It is safe for concurrent use.
type Store struct {
	direct metastore.Store
	peers  Peers
	urgent func() bool
	now    func() time.Time

	mu       sync.Mutex
	failures int
	probeAt  time.Time
	// probeDelay is the delay after the next probe.
	probeDelay time.Duration
	// openProbes is the number of probes in flight.
	openProbes int
	// answeredAt is when a direct call or probe was last answered.
	answeredAt time.Time
	waitLimit  waitLimit
	// relaying is closed when calls start to go through peers, and reconnected when they go
	// directly again; reconnected is nil while they do.
	relaying, reconnected chan struct{}
}

var (
	_ metastore.Store       = (*Store)(nil)
	_ metastore.StaleReader = (*Store)(nil)
	_ metastore.Reconnector = (*Store)(nil)
)

// New returns a store on top of a direct one. urgent reports whether others wait for this
// node to reach the store again, so that it probes more often; nil means never.
func New(direct metastore.Store, peers Peers, urgent func() bool) *Store {
	if urgent == nil {
		urgent = func() bool { return false }
	}
	return &Store{direct: direct, peers: peers, urgent: urgent, now: time.Now, relaying: make(chan struct{})}
}

// Connected reports whether the store answers this node directly.
func (s *Store) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures < failuresToRelay
}

// unanswered reports whether an error means that the store did not answer.
func unanswered(err error) bool {
	return err != nil && (errorx.IsOfType(err, metastore.ErrUnavailable) || errorx.IsOfType(err, metastore.ErrUnknown))
}

// callDirect makes one direct call to the store with a wait limit that follows the latency
// of recent answers. bytes is the size of the data sent.
func (s *Store) callDirect(ctx context.Context, bytes int, call func(context.Context, metastore.Store) error) error {
	s.mu.Lock()
	timeout := s.waitLimit.timeout(bytes)
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := s.now()
	err := call(callCtx, s.direct)
	switch ended := callCtx.Err(); {
	case unanswered(err) && errors.Is(ended, context.DeadlineExceeded):
		s.timedOut()
	case unanswered(err) && ended != nil: // canceled by the caller
	case unanswered(err):
		s.recordResult(err)
	default:
		s.recordResult(err)
		s.mu.Lock()
		s.waitLimit.answered(s.now().Sub(start))
		s.mu.Unlock()
	}
	return err
}

// do makes one call, directly or through a peer. A call that changes data and whose
// outcome is unknown is not retried here.
func (s *Store) do(ctx context.Context, changes bool, bytes int, call func(context.Context, metastore.Store) error) error {
	var err error
	if s.tryDirect() {
		err = s.callDirect(ctx, bytes, call)
		if !unanswered(err) || changes && errorx.IsOfType(err, metastore.ErrUnknown) {
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
		if !unanswered(err) || changes && errorx.IsOfType(err, metastore.ErrUnknown) {
			return err
		}
	}
	if err == nil {
		err = metastore.ErrUnavailable.New("the store is unreachable, directly and through peers")
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

// RangeStale implements metastore.StaleReader. Peers do consistent reads.
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

// Grant implements metastore.Store. It is retried even when the outcome is unknown, since
// an unused lease expires by itself.
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

// Watch implements metastore.Store. A pending direct watch is canceled when calls start to
// go through peers.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	s.mu.Lock()
	relaying, direct := s.relaying, s.failures < failuresToRelay
	s.mu.Unlock()
	if direct {
		return s.watchDirect(ctx, relaying, prefix, after, wait)
	}
	var events []metastore.Event
	var revision int64
	err := s.do(ctx, false, 0, func(ctx context.Context, store metastore.Store) (err error) {
		events, revision, err = store.Watch(ctx, prefix, after, min(wait, relayedWait/2))
		return err
	})
	return events, revision, err
}

func (s *Store) watchDirect(ctx context.Context, relaying <-chan struct{}, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-relaying:
			cancel()
		case <-ctx.Done():
		}
	}()
	events, revision, err := s.direct.Watch(ctx, prefix, after, wait)
	switch {
	case ctx.Err() != nil:
	case errorx.IsOfType(err, metastore.ErrUnknown) && s.answers(ctx):
		return nil, 0, metastore.ErrCut.Wrap(err, "the store answers other calls")
	default:
		s.recordResult(err)
	}
	return events, revision, err
}

// answers reports whether the store answers a direct call that does not wait. The store may cut
// a waiting watch at any time, which says nothing about its other calls.
func (s *Store) answers(ctx context.Context) bool {
	err := s.callDirect(ctx, 0, func(ctx context.Context, store metastore.Store) error {
		_, err := store.Get(ctx, probeKey)
		return err
	})
	return !unanswered(err)
}
