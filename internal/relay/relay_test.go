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

// refusing is a way to the store on which nothing is done.
type refusing struct {
	metastore.Store
	off     atomic.Bool
	unknown bool
	commits atomic.Int64
	probes  atomic.Int64
	// watching, when set, is told of each watch that waits.
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
		return nil, 0, metastore.ErrUnknown.Wrap(ctx.Err(), "silent")
	}
	return r.Store.Watch(ctx, prefix, after, wait)
}

// turnedAway returns a way to the store that refuses all.
func turnedAway(store metastore.Store) *refusing {
	r := &refusing{Store: store}
	r.off.Store(true)
	return r
}

// settled waits until no probe is under way.
func settled(t *testing.T, s *Store) {
	t.Helper()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return !s.probing }, time.Minute, time.Millisecond)
}

func put(key string) metastore.Txn {
	return metastore.Txn{Conditions: []metastore.Condition{{Key: key}}, Puts: []metastore.Put{{Key: key, Value: []byte("x")}}}
}

func TestCallsGoThroughAPeerWhileTurnedAway(t *testing.T) {
	store := memory.New(nil)
	direct := turnedAway(store)
	s := New(direct, func() []metastore.Store { return []metastore.Store{store} }, nil)
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	for _, key := range []string{"a", "b", "c", "d"} {
		_, err := s.Commit(context.Background(), put(key))
		require.NoError(t, err)
	}
	require.False(t, s.Connected())
	require.EqualValues(t, failuresToTurn, direct.commits.Load(), "a store that turns this node away is not asked with each call")
	direct.off.Store(false)
	now = now.Add(2 * probeMost)
	_, err := s.Commit(context.Background(), put("e"))
	require.NoError(t, err)
	settled(t, s)
	require.True(t, s.Connected())
}

// TestUnknownWriteIsNotRepeated: a write that may have been applied is the
// caller's to judge.
func TestUnknownWriteIsNotRepeated(t *testing.T) {
	store := memory.New(nil)
	s := New(&refusing{Store: store, unknown: true}, func() []metastore.Store { return []metastore.Store{store} }, nil)
	_, err := s.Commit(context.Background(), put("a"))
	require.ErrorContains(t, err, "no answer")
	_, err = store.Get(context.Background(), "a")
	require.Error(t, err)
}

// TestWaitingWatchTurns: a watch that waits on a silent way is given up when other
// calls fail.
func TestWaitingWatchTurns(t *testing.T) {
	store := memory.New(nil)
	direct := turnedAway(store)
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

func TestNoWayIsUnavailable(t *testing.T) {
	s := New(turnedAway(memory.New(nil)), func() []metastore.Store { return nil }, nil)
	_, err := s.Commit(context.Background(), put("a"))
	require.Error(t, err)
	_, err = s.Commit(context.Background(), put("a"))
	require.ErrorContains(t, err, "unavailable")
}

// failing returns a store whose direct way fails and that knows no peer, its clock,
// and a call that reports the probes that it led to.
func failing(t *testing.T, urgent func() bool) (direct *refusing, advance func(time.Duration), probes func() int64) {
	t.Helper()
	direct = turnedAway(memory.New(nil))
	s := New(direct, func() []metastore.Store { return nil }, urgent)
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	probes = func() int64 {
		before := direct.probes.Load()
		_, err := s.Commit(context.Background(), put("a"))
		require.Error(t, err)
		settled(t, s)
		return direct.probes.Load() - before
	}
	for range failuresToTurn {
		require.Zero(t, probes())
	}
	return direct, func(d time.Duration) { now = now.Add(d) }, probes
}

// TestOutageIsProbedSeldom: while no way leads to the store, calls fail without
// asking it, but for probes that grow rarer.
func TestOutageIsProbedSeldom(t *testing.T) {
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
	require.LessOrEqual(t, second(), int64(time.Second/probeFirst))
	require.LessOrEqual(t, second(), int64(time.Second/probeMost))
}

// TestUrgentNodesProbeOften: a node on whose calls others wait sees the return of
// the store soon.
func TestUrgentNodesProbeOften(t *testing.T) {
	urgent := true
	_, advance, probes := failing(t, func() bool { return urgent })
	for range 5 {
		require.Zero(t, probes())
		advance(probeUrgent)
		require.EqualValues(t, 1, probes())
	}
	urgent = false
	advance(probeUrgent)
	require.EqualValues(t, 1, probes())
	advance(probeUrgent)
	require.Zero(t, probes())
}

// TestWritesAreNoProbes: the way to the store is silent for long. Writes go through
// a peer all the while; none is lost on the silent way.
func TestWritesAreNoProbes(t *testing.T) {
	store := memory.New(nil)
	direct := turnedAway(store)
	direct.unknown = true
	s := New(direct, func() []metastore.Store { return []metastore.Store{store} }, func() bool { return true })
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	for range failuresToTurn {
		_, err := s.Commit(context.Background(), put("a"))
		require.ErrorContains(t, err, "no answer")
	}
	for i := range 10 {
		now = now.Add(probeMost)
		_, err := s.Commit(context.Background(), put(fmt.Sprint(i)))
		require.NoError(t, err)
		settled(t, s)
	}
	require.EqualValues(t, failuresToTurn, direct.commits.Load())
}
