package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

// refusing is a way to the store on which nothing is done.
type refusing struct {
	metastore.Store
	off     bool
	unknown bool
	calls   int
	// watching, when set, is told of each watch that waits.
	watching chan struct{}
}

func (r *refusing) Commit(ctx context.Context, txn metastore.Txn) (int64, error) {
	r.calls++
	if r.unknown {
		return 0, metastore.ErrUnknown.New("no answer")
	}
	if r.off {
		return 0, metastore.ErrUnavailable.New("status 503")
	}
	return r.Store.Commit(ctx, txn)
}

func (r *refusing) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	if r.off {
		if r.watching != nil {
			r.watching <- struct{}{}
		}
		<-ctx.Done()
		return nil, 0, metastore.ErrUnknown.Wrap(ctx.Err(), "silent")
	}
	return r.Store.Watch(ctx, prefix, after, wait)
}

func put(key string) metastore.Txn {
	return metastore.Txn{Conditions: []metastore.Condition{{Key: key}}, Puts: []metastore.Put{{Key: key, Value: []byte("x")}}}
}

func TestCallsGoThroughAPeerWhileTurnedAway(t *testing.T) {
	store := memory.New(nil)
	direct := &refusing{Store: store, off: true}
	s := New(direct, func() []metastore.Store { return []metastore.Store{store} }, nil)
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	for _, key := range []string{"a", "b", "c", "d"} {
		_, err := s.Commit(context.Background(), put(key))
		require.NoError(t, err)
	}
	require.False(t, s.InTouch())
	require.Equal(t, failuresToTurn, direct.calls, "a store that turns this node away is not asked with each call")
	direct.off = false
	now = now.Add(2 * probeMost)
	_, err := s.Commit(context.Background(), put("e"))
	require.NoError(t, err)
	require.True(t, s.InTouch())
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
	direct := &refusing{Store: store, off: true, watching: make(chan struct{})}
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
	s := New(&refusing{Store: memory.New(nil), off: true}, func() []metastore.Store { return nil }, nil)
	_, err := s.Commit(context.Background(), put("a"))
	require.Error(t, err)
	_, err = s.Commit(context.Background(), put("a"))
	require.ErrorContains(t, err, "unavailable")
}

// TestOutageIsProbedSeldom: while no way leads to the store, calls fail without
// asking it, but for probes that grow rarer.
func TestOutageIsProbedSeldom(t *testing.T) {
	direct := &refusing{Store: memory.New(nil), off: true}
	s := New(direct, func() []metastore.Store { return nil }, nil)
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	const step = 10 * time.Millisecond
	probes := func() int {
		before := direct.calls
		for range time.Second / step {
			now = now.Add(step)
			_, err := s.Commit(context.Background(), put("a"))
			require.Error(t, err)
		}
		return direct.calls - before
	}
	require.LessOrEqual(t, probes(), failuresToTurn+int(time.Second/probeFirst))
	require.LessOrEqual(t, probes(), int(time.Second/probeMost)+1)
	direct.off = false
	now = now.Add(probeMost)
	_, err := s.Commit(context.Background(), put("a"))
	require.NoError(t, err, "the return of the store is seen within the longest pause")
}

// TestUrgentNodesProbeOften: a node on whose calls others wait sees the return of
// the store soon.
func TestUrgentNodesProbeOften(t *testing.T) {
	direct := &refusing{Store: memory.New(nil), off: true}
	urgent := true
	s := New(direct, func() []metastore.Store { return nil }, func() bool { return urgent })
	now := time.Unix(1_700_000_000, 0)
	s.now = func() time.Time { return now }
	fail := func() int {
		before := direct.calls
		_, err := s.Commit(context.Background(), put("a"))
		require.Error(t, err)
		return direct.calls - before
	}
	for range failuresToTurn {
		fail()
	}
	for range 5 {
		require.Zero(t, fail())
		now = now.Add(probeUrgent)
		require.Equal(t, 1, fail())
	}
	urgent = false
	now = now.Add(probeUrgent)
	require.Equal(t, 1, fail())
	now = now.Add(probeUrgent)
	require.Zero(t, fail())
}
