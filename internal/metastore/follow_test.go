package metastore_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/relay"
)

// observed records the changes that a follower reported.
type observed struct {
	mu     sync.Mutex
	values map[string]string
	lost   int
}

func (s *observed) changed(e metastore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Deleted {
		delete(s.values, e.Key)
		return
	}
	s.values[e.Key] = string(e.Value)
}

func (s *observed) copy() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

// follow starts a follower of the prefix and returns the changes that it reports, and a
// function that stops it.
func follow(ctx context.Context, store metastore.Store, prefix string) (*observed, func()) {
	s := &observed{values: map[string]string{}}
	f := &metastore.Follower{
		Store: store, Prefix: prefix, Changed: s.changed, Settled: func() {}, Logger: slog.New(slog.DiscardHandler),
		Wait: 5 * time.Millisecond,
		Lost: func(error) { s.mu.Lock(); s.lost++; s.mu.Unlock() },
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	return s, func() { cancel(); <-done }
}

const (
	waitLimit    = 20 * time.Second
	pollInterval = time.Millisecond
)

// TestFollowerMatchesStore applies random changes with outages, dropped history and
// stalled watches; the follower must end with exactly the store's keys.
func TestFollowerMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := memory.New(nil)
		s, stop := follow(context.Background(), store, "a/")
		defer stop()
		want := map[string]string{}
		for i := range rapid.IntRange(1, 25).Draw(t, "actions") {
			key := fmt.Sprintf("a/%d", rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2:
				want[key] = fmt.Sprint(i)
				store.Write(key, []byte(want[key]))
			case 3:
				delete(want, key)
				store.Remove(key)
			case 4:
				store.DropHistory()
			case 5:
				store.SetFaults(memory.Faults{StallWatches: true})
				want[key] = fmt.Sprint("stalled", i)
				store.Write(key, []byte(want[key]))
				store.DropHistory()
				store.SetFaults(memory.Faults{})
			case 6:
				store.SetFaults(memory.Faults{Down: true})
				store.SetFaults(memory.Faults{})
			}
			store.Write("b/other", []byte(fmt.Sprint(i)))
		}
		require.Eventually(t, func() bool { return maps.Equal(want, s.copy()) }, waitLimit, pollInterval, "the follower must end with the store's keys")
	})
}

// TestFollowerRecoversFromDroppedHistory guards against a missed change when the store
// drops its history and the pending watch returns nothing: only the next watch fails.
func TestFollowerRecoversFromDroppedHistory(t *testing.T) {
	store := memory.New(nil)
	store.Write("c/config", []byte("1"))
	s, stop := follow(context.Background(), store, "c/")
	defer stop()
	require.Eventually(t, func() bool { return s.copy()["c/config"] == "1" }, waitLimit, pollInterval)
	store.SetFaults(memory.Faults{StallWatches: true})
	store.Write("c/config", []byte("2"))
	store.DropHistory()
	store.SetFaults(memory.Faults{})
	require.Eventually(t, func() bool { return s.copy()["c/config"] == "2" }, waitLimit, pollInterval)
}

// TestFollowerReportsAnOutageOnce checks that an outage is reported once and that the
// follower continues afterwards.
func TestFollowerReportsAnOutageOnce(t *testing.T) {
	store := memory.New(nil)
	s, stop := follow(context.Background(), store, "a/")
	defer stop()
	store.SetFaults(memory.Faults{Down: true})
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.lost == 1 }, waitLimit, pollInterval)
	store.SetFaults(memory.Faults{})
	store.Write("a/1", []byte("x"))
	require.Eventually(t, func() bool { return s.copy()["a/1"] == "x" }, waitLimit, pollInterval)
}

// TestStaleFirstReadMissesNoChange checks that the watch delivers what a stale first read
// lacks, even when the history in between was dropped.
func TestStaleFirstReadMissesNoChange(t *testing.T) {
	for name, dropped := range map[string]bool{"history kept": false, "history dropped": true} {
		t.Run(name, func(t *testing.T) {
			store := memory.New(nil)
			store.Write("a/1", []byte("one"))
			store.Write("a/2", []byte("two"))
			store.Remove("a/1")
			if dropped {
				store.DropHistory()
			}
			store.SetFaults(memory.Faults{StaleReads: true})
			s, stop := follow(context.Background(), store, "a/")
			defer stop()
			require.Eventually(t, func() bool { return maps.Equal(s.copy(), map[string]string{"a/2": "two"}) }, waitLimit, pollInterval)
		})
	}
}

// TestCutWatchesAreNoOutage guards against a follower that reports an outage because waiting
// watches are cut, however often and together with what other changes: the store answers all
// other calls, so that a removed key is gone at once (review/7).
func TestCutWatchesAreNoOutage(t *testing.T) {
	const cuts = 40
	store := memory.New(nil)
	source := relay.New(store, func() []metastore.Store { return nil }, nil)
	s, stop := follow(context.Background(), source, "a/")
	defer stop()
	want := map[string]string{}
	for i := range cuts {
		require.Eventually(t, func() bool { return store.CutWatches() > 0 }, waitLimit, pollInterval)
		key := fmt.Sprintf("a/%d", i%5)
		switch i % 4 {
		case 0, 1:
			want[key] = fmt.Sprint(i)
			store.Write(key, []byte(want[key]))
		case 2:
			delete(want, key)
			store.Remove(key)
		case 3:
			store.DropHistory()
		}
	}
	require.Eventually(t, func() bool { return maps.Equal(want, s.copy()) }, waitLimit, pollInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.lost, "outages")
}

// cutting is a store whose watches are all cut, however short they wait.
type cutting struct{ *memory.Store }

func (cutting) Watch(context.Context, string, int64, time.Duration) ([]metastore.Event, int64, error) {
	return nil, 0, metastore.ErrUnknown.New("the watch was cut")
}

// TestFollowerKnowsChangesThoughEachWatchIsCut guards against a follower that learns nothing
// while watches are cut faster than the store can answer them.
func TestFollowerKnowsChangesThoughEachWatchIsCut(t *testing.T) {
	store := memory.New(nil)
	store.Write("a/1", []byte("one"))
	source := relay.New(cutting{store}, func() []metastore.Store { return nil }, nil)
	s, stop := follow(context.Background(), source, "a/")
	defer stop()
	require.Eventually(t, func() bool { return maps.Equal(s.copy(), map[string]string{"a/1": "one"}) }, waitLimit, pollInterval)
	store.Remove("a/1")
	store.Write("a/2", []byte("two"))
	require.Eventually(t, func() bool { return maps.Equal(s.copy(), map[string]string{"a/2": "two"}) }, waitLimit, pollInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.lost, "outages")
}
