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

func TestPatienceFollowsTheStore(t *testing.T) {
	var p patience
	require.Equal(t, leastPatience, p.timeout(0))
	p.answered(4 * time.Millisecond)
	require.Equal(t, leastPatience, p.timeout(0))
	require.Equal(t, leastPatience+250*time.Millisecond, p.timeout(250*sendRate), "a large write takes its time")
	require.Equal(t, mostPatience, p.timeout(rangeBytes))
	p.missed()
	require.Equal(t, 2*leastPatience, p.timeout(0), "the store may have become slow")
	for range 10 {
		p.missed()
	}
	require.Equal(t, mostPatience, p.timeout(0))
	for range 20 {
		p.answered(100 * time.Millisecond)
	}
	require.InDelta(t, usualFactor*100, p.timeout(0).Milliseconds(), 20)
	for range 40 {
		p.answered(4 * time.Millisecond)
	}
	require.Equal(t, leastPatience, p.timeout(0))
}

// TestPatienceAgainstAFixedWait plays a store that answers fast, loses a third of the
// answers for a while, becomes slow, and recovers. Calls that are made until one is
// answered take a quarter of the time that a fixed wait of the longest patience takes
// while answers are lost, and half as much again at most while it is slow.
func TestPatienceAgainstAFixedWait(t *testing.T) {
	const (
		fast, slow = 5 * time.Millisecond, 250 * time.Millisecond
		lost       = 0.35
		calls      = 400
	)
	type waits interface {
		timeout(bytes int) time.Duration
		answered(took time.Duration)
		missed()
	}
	play := func(w waits, latency time.Duration, lost float64) time.Duration {
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
				w.missed()
				if latency <= probeTimeout {
					w.answered(latency) // the probe's
				}
			}
		}
		return total
	}
	ours, fixed := &patience{}, fixedWait(mostPatience)
	require.Equal(t, play(fixed, fast, 0), play(ours, fast, 0))
	require.Less(t, 4*play(ours, fast, lost), play(fixed, fast, lost))
	require.LessOrEqual(t, play(ours, slow, 0), play(fixed, slow, 0)*3/2)
	require.Equal(t, play(fixed, fast, 0), play(ours, fast, 0))
}

// fixedWait is the naive version.
type fixedWait time.Duration

func (f fixedWait) timeout(int) time.Duration { return time.Duration(f) }
func (f fixedWait) answered(time.Duration)    {}
func (f fixedWait) missed()                   {}

// silent is a way to the store on which the answers of some writes are lost.
type silent struct {
	metastore.Store
	// lose reports whether the answer to the n-th write is lost.
	lose   func(n int) bool
	writes int
}

func (s *silent) Commit(ctx context.Context, txn metastore.Txn) (int64, error) {
	s.writes++
	revision, err := s.Store.Commit(ctx, txn)
	if s.lose(s.writes) {
		<-ctx.Done()
		return 0, metastore.ErrUnknown.Wrap(ctx.Err(), "no answer")
	}
	return revision, err
}

// TestLostAnswersDoNotTurnANodeAway: the store is reached, and every second answer to a
// write is lost. Each such write is given up within the least patience, and the
// node goes on calling the store itself.
func TestLostAnswersDoNotTurnANodeAway(t *testing.T) {
	direct := &silent{Store: memory.New(nil), lose: func(n int) bool { return n%2 == 1 }}
	s := New(direct, func() []metastore.Store { return nil }, nil)
	for i := range 4 {
		key := fmt.Sprint(i)
		_, err := s.Commit(context.Background(), put(key))
		require.ErrorContains(t, err, "no answer")
		settled(t, s)
		require.True(t, s.Connected())
		s.mu.Lock()
		require.Zero(t, s.patience.misses, "the probe was answered: the store is not slow")
		s.mu.Unlock()
		_, err = s.Commit(context.Background(), put(key))
		require.ErrorContains(t, err, "conflict", "the write took effect")
	}
	require.Equal(t, 8, direct.writes)
}

// TestCallersWhoGiveUpDoNotTurnANodeAway: a caller that ends its calls says nothing
// about the store.
func TestCallersWhoGiveUpDoNotTurnANodeAway(t *testing.T) {
	direct := &silent{Store: memory.New(nil), lose: func(int) bool { return true }}
	s := New(direct, func() []metastore.Store { return nil }, nil)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 2 * failuresToTurn {
		_, err := s.Commit(gone, put(fmt.Sprint(i)))
		require.Error(t, err)
	}
	require.True(t, s.Connected())
}
