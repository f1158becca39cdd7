package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

func TestWaitLimitAdaptsToLatency(t *testing.T) {
	var w waitLimit
	require.Equal(t, minWaitLimit, w.timeout(0))
	w.answered(4 * time.Millisecond)
	require.Equal(t, minWaitLimit, w.timeout(0))
	require.Equal(t, minWaitLimit+250*time.Millisecond, w.timeout(250*sendRate), "a large write gets a longer limit")
	require.Equal(t, maxWaitLimit, w.timeout(rangeBytes))
	w.timedOut()
	require.Equal(t, 2*minWaitLimit, w.timeout(0), "the store may have become slow")
	for range 10 {
		w.timedOut()
	}
	require.Equal(t, maxWaitLimit, w.timeout(0))
	for range 20 {
		w.answered(100 * time.Millisecond)
	}
	require.InDelta(t, averageFactor*100, w.timeout(0).Milliseconds(), 20)
	for range 40 {
		w.answered(4 * time.Millisecond)
	}
	require.Equal(t, minWaitLimit, w.timeout(0))
}

// TestAdaptiveWaitLimitBeatsAFixedOne simulates a store that is fast, loses about a third
// of its answers for a while, becomes slow, and recovers. Each call is retried until it
// is answered. Compared with a fixed wait of the longest limit, the adaptive limit takes
// less than a quarter of the time while answers are lost, and at most 1.5 times as long
// while the store is slow.
func TestAdaptiveWaitLimitBeatsAFixedOne(t *testing.T) {
	const (
		fast, slow = 5 * time.Millisecond, 250 * time.Millisecond
		lost       = 0.35
		calls      = 400
	)
	type waits interface {
		timeout(bytes int) time.Duration
		answered(elapsed time.Duration)
		timedOut()
	}
	simulate := func(w waits, latency time.Duration, lost float64) time.Duration {
		random := rand.New(rand.NewPCG(1, 2))
		total := time.Duration(0)
		for range calls {
			for done := false; !done; {
				timeout := w.timeout(0)
				done = latency <= timeout && random.Float64() >= lost
				if done {
					total += latency
					w.answered(latency)
					continue
				}
				total += timeout
				w.timedOut()
				if latency <= probeTimeout {
					w.answered(latency) // the answer to the probe
				}
			}
		}
		return total
	}
	adaptive, fixed := &waitLimit{}, fixedWait(maxWaitLimit)
	require.Equal(t, simulate(fixed, fast, 0), simulate(adaptive, fast, 0))
	require.Less(t, 4*simulate(adaptive, fast, lost), simulate(fixed, fast, lost))
	require.LessOrEqual(t, simulate(adaptive, slow, 0), simulate(fixed, slow, 0)*3/2)
	require.Equal(t, simulate(fixed, fast, 0), simulate(adaptive, fast, 0))
}

// fixedWait is the baseline: a constant wait limit.
type fixedWait time.Duration

func (f fixedWait) timeout(int) time.Duration { return time.Duration(f) }
func (f fixedWait) answered(time.Duration)    {}
func (f fixedWait) timedOut()                 {}

// lossy is a connection to the store on which the answers to some writes are lost.
type lossy struct {
	metastore.Store
	// lose reports whether the answer to the n-th write is lost.
	lose   func(n int) bool
	writes int
}

func (s *lossy) Commit(ctx context.Context, txn metastore.Txn) (int64, error) {
	s.writes++
	revision, err := s.Store.Commit(ctx, txn)
	if s.lose(s.writes) {
		<-ctx.Done()
		return 0, metastore.ErrUnknown.Wrap(ctx.Err(), "no answer")
	}
	return revision, err
}

// TestLostAnswersDoNotStartRelaying checks that a node keeps calling a reachable store
// directly when the answer to every second write is lost. The wait limit must stay at its
// minimum, since the probes after those writes are answered.
func TestLostAnswersDoNotStartRelaying(t *testing.T) {
	direct := &lossy{Store: memory.New(nil), lose: func(n int) bool { return n%2 == 1 }}
	s := New(direct, func() []metastore.Store { return nil }, nil)
	for i := range 4 {
		key := fmt.Sprint(i)
		_, err := s.Commit(context.Background(), put(key))
		require.ErrorContains(t, err, "no answer")
		waitForProbe(t, s)
		require.True(t, s.Connected())
		s.mu.Lock()
		require.Zero(t, s.waitLimit.timeouts, "the probe was answered: the store is not slow")
		s.mu.Unlock()
		_, err = s.Commit(context.Background(), put(key))
		require.ErrorContains(t, err, "conflict", "the write took effect")
	}
	require.Equal(t, 8, direct.writes)
}

// TestCanceledCallsDoNotStartRelaying checks that calls canceled by their caller do not
// count as failures of the store.
func TestCanceledCallsDoNotStartRelaying(t *testing.T) {
	direct := &lossy{Store: memory.New(nil), lose: func(int) bool { return true }}
	s := New(direct, func() []metastore.Store { return nil }, nil)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 2 * failuresToRelay {
		_, err := s.Commit(canceled, put(fmt.Sprint(i)))
		require.Error(t, err)
	}
	require.True(t, s.Connected())
}
