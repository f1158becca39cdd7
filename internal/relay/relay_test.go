package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

// refusing is a connection to the store on which all calls can be made to fail.
type refusing struct {
	metastore.Store
	off     atomic.Bool // calls are refused, and watches block
	unknown bool        // commits fail with an unknown outcome
	commits atomic.Int64
	probes  atomic.Int64
	// watching, if not nil, receives a value for each watch that blocks.
	watching chan struct{}
}

func (r *refusing) Commit(ctx context.Context, txn metastore.Txn) (int64, error) {
	r.commits.Add(1)
	if r.unknown {
		return 0, metastore.ErrUnknown.New("no answer")
	}
	if r.off.Load() {
		return 0, metastore.ErrUnavailable.New("status 503")
	}
	return r.Store.Commit(ctx, txn)
}

func (r *refusing) Get(ctx context.Context, key string) (metastore.Item, error) {
	r.probes.Add(1)
	if r.off.Load() {
		return metastore.Item{}, metastore.ErrUnavailable.New("status 503")
	}
	return r.Store.Get(ctx, key)
}

func (r *refusing) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	if r.off.Load() {
		if r.watching != nil {
			r.watching <- struct{}{}
		}
		<-ctx.Done()
		return nil, 0, metastore.ErrUnknown.Wrap(ctx.Err(), "stalled")
	}
	return r.Store.Watch(ctx, prefix, after, wait)
}

// newRefusing returns a connection to the store that refuses all calls.
func newRefusing(store metastore.Store) *refusing {
	r := &refusing{Store: store}
	r.off.Store(true)
	return r
}

// waitForProbe waits until no probe is in flight.
func waitForProbe(t *testing.T, s *Store) {
	t.Helper()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.openProbes == 0 }, time.Minute, time.Millisecond)
}

func put(key string) metastore.Txn {
	return metastore.Txn{Conditions: []metastore.Condition{{Key: key}}, Puts: []metastore.Put{{Key: key, Value: []byte("x")}}}
}

func TestCallsGoThroughAPeerWhileRefused(t *testing.T) {
	store := memory.New(nil)
	direct := newRefusing(store)
	s := New(direct, func() []metastore.Store { return []metastore.Store{store} }, nil)
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	for _, key := range []string{"a", "b", "c", "d"} {
		_, err := s.Commit(context.Background(), put(key))
		require.NoError(t, err)
	}
	require.False(t, s.Connected())
	require.EqualValues(t, failuresToRelay, direct.commits.Load(), "a store that refuses this node is not called each time")
	direct.off.Store(false)
	now = now.Add(2 * maxProbeDelay)
	_, err := s.Commit(context.Background(), put("e"))
	require.NoError(t, err)
	waitForProbe(t, s)
	require.True(t, s.Connected())
}

// TestUnknownWriteIsNotRetried checks that a write that may have been applied is not
// retried through a peer: only the caller can decide whether that is safe.
func TestUnknownWriteIsNotRetried(t *testing.T) {
	store := memory.New(nil)
	s := New(&refusing{Store: store, unknown: true}, func() []metastore.Store { return []metastore.Store{store} }, nil)
	_, err := s.Commit(context.Background(), put("a"))
	require.ErrorContains(t, err, "no answer")
	_, err = store.Get(context.Background(), "a")
	require.Error(t, err)
}

// TestStalledWatchIsCanceled checks that a watch pending on a stalled connection is
// canceled when other calls fail, and that the next one goes through a peer.
func TestStalledWatchIsCanceled(t *testing.T) {
	store := memory.New(nil)
	direct := newRefusing(store)
	direct.watching = make(chan struct{})
	s := New(direct, func() []metastore.Store { return []metastore.Store{store} }, nil)
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(context.Background(), "a", 1, time.Hour)
		ended <- err
	}()
	<-direct.watching
	for _, key := range []string{"a1", "a2"} {
		_, err := s.Commit(context.Background(), put(key))
		require.NoError(t, err)
	}
	require.Error(t, <-ended)
	events, _, err := s.Watch(context.Background(), "a", 1, time.Hour)
	require.NoError(t, err)
	require.Len(t, events, 2)
}

func TestCallWithoutConnectionIsUnavailable(t *testing.T) {
	s := New(newRefusing(memory.New(nil)), func() []metastore.Store { return nil }, nil)
	_, err := s.Commit(context.Background(), put("a"))
	require.Error(t, err)
	_, err = s.Commit(context.Background(), put("a"))
	require.ErrorContains(t, err, "unavailable")
}

// failing creates a Store without peers whose direct connection fails. It returns that
// connection, a function that advances the clock, and a function that makes a call and
// returns the number of probes that it caused.
func failing(t *testing.T, urgent func() bool) (direct *refusing, advance func(time.Duration), probes func() int64) {
	t.Helper()
	direct = newRefusing(memory.New(nil))
	s := New(direct, func() []metastore.Store { return nil }, urgent)
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	probes = func() int64 {
		before := direct.probes.Load()
		_, err := s.Commit(context.Background(), put("a"))
		require.Error(t, err)
		waitForProbe(t, s)
		return direct.probes.Load() - before
	}
	for range failuresToRelay {
		require.Zero(t, probes())
	}
	return direct, func(d time.Duration) { now = now.Add(d) }, probes
}

// TestOutageIsProbedRarely checks that calls fail without reaching the store while it is
// unreachable, except for probes at increasing intervals.
func TestOutageIsProbedRarely(t *testing.T) {
	_, advance, probes := failing(t, nil)
	const step = 10 * time.Millisecond
	second := func() int64 {
		n := int64(0)
		for range time.Second / step {
			advance(step)
			n += probes()
		}
		return n
	}
	require.LessOrEqual(t, second(), int64(time.Second/minProbeDelay))
	require.LessOrEqual(t, second(), int64(time.Second/maxProbeDelay))
}

// TestUrgentNodesProbeOften checks that a node whose calls others wait for detects the
// recovery of the store quickly.
func TestUrgentNodesProbeOften(t *testing.T) {
	urgent := true
	_, advance, probes := failing(t, func() bool { return urgent })
	for range 5 {
		require.Zero(t, probes())
		advance(urgentProbeDelay)
		require.EqualValues(t, 1, probes())
	}
	urgent = false
	advance(urgentProbeDelay)
	require.EqualValues(t, 1, probes())
	advance(urgentProbeDelay)
	require.Zero(t, probes())
}

// deaf is a connection to a store. While it is down, calls get no answer, not even after
// it is up again; idle connections stay silent until they are closed.
type deaf struct {
	metastore.Store
	down   atomic.Bool
	silent atomic.Bool
	closed atomic.Int64
}

func (l *deaf) Get(ctx context.Context, key string) (metastore.Item, error) {
	if l.down.Load() || l.silent.Load() {
		<-ctx.Done()
		return metastore.Item{}, metastore.ErrUnknown.Wrap(ctx.Err(), "no answer")
	}
	return l.Store.Get(ctx, key)
}

func (l *deaf) CloseIdleConnections() {
	l.closed.Add(1)
	if !l.down.Load() {
		l.silent.Store(false)
	}
}

// TestUrgentProbesOverlap checks that an urgent node does not wait for the probes that it
// sent during an outage before it sends the next one.
func TestUrgentProbesOverlap(t *testing.T) {
	l := &deaf{Store: memory.New(nil)}
	l.down.Store(true)
	s := New(l, func() []metastore.Store { return nil }, func() bool { return true })
	s.failures = failuresToRelay
	s.reconnected = make(chan struct{})
	var elapsed atomic.Int64
	s.now = func() time.Time { return time.Unix(1_700_000_000, elapsed.Load()) }
	require.False(t, s.tryDirect())
	reconnected := s.Reconnected()
	l.down.Store(false)
	elapsed.Add(int64(urgentProbeDelay))
	require.False(t, s.tryDirect())
	<-reconnected
	require.True(t, s.Connected())
	require.Nil(t, s.Reconnected())
	waitForProbe(t, s)
	require.True(t, s.Connected(), "the probe of the outage fails later and says nothing")
}

// TestSilentConnectionsAreClosed checks that connections that may be silent for good are
// closed when a call gets no answer, so that the next one uses a new connection.
func TestSilentConnectionsAreClosed(t *testing.T) {
	l := &deaf{Store: memory.New(nil)}
	l.silent.Store(true)
	s := New(l, func() []metastore.Store { return nil }, func() bool { return true })
	_, err := s.Get(context.Background(), "a")
	require.Error(t, err)
	require.Positive(t, l.closed.Load())
	_, err = s.Get(context.Background(), "a")
	require.ErrorContains(t, err, "not_found")
}

// TestWritesAreNotUsedAsProbes checks that, once the direct connection has lost answers,
// all writes go through a peer, so that none of them ends with an unknown outcome.
func TestWritesAreNotUsedAsProbes(t *testing.T) {
	store := memory.New(nil)
	direct := newRefusing(store)
	direct.unknown = true
	s := New(direct, func() []metastore.Store { return []metastore.Store{store} }, func() bool { return true })
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	for range failuresToRelay {
		_, err := s.Commit(context.Background(), put("a"))
		require.ErrorContains(t, err, "no answer")
	}
	for i := range 10 {
		now = now.Add(maxProbeDelay)
		_, err := s.Commit(context.Background(), put(fmt.Sprint(i)))
		require.NoError(t, err)
		waitForProbe(t, s)
	}
	require.EqualValues(t, failuresToRelay, direct.commits.Load())
}
