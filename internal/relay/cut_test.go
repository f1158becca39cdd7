package relay

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

// followedPrefixes is the number of prefixes that a node watches at the same time.
const followedPrefixes = 3

// TestCutWatchesDoNotStartRelaying guards against a node that believes itself cut off from the
// store because the watches of all its followers were cut at once.
func TestCutWatchesDoNotStartRelaying(t *testing.T) {
	store := memory.New(nil)
	s := New(store, func() []metastore.Store { return nil }, nil)
	var watches errgroup.Group
	for range followedPrefixes {
		watches.Go(func() error {
			_, _, err := s.Watch(context.Background(), "a/", 1, time.Hour)
			return err
		})
	}
	require.Eventually(t, func() bool { return store.Calls() == followedPrefixes }, time.Minute, time.Millisecond)
	store.CutWatches()
	err := watches.Wait()
	require.True(t, errorx.IsOfType(err, metastore.ErrCut), err)
	require.True(t, s.Connected())
	_, err = s.Commit(context.Background(), put("a"))
	require.NoError(t, err, "calls go on directly")
}

// TestWatchThatBreaksInAnOutageIsNotReportedAsCut checks that a cut is told from an outage by a
// call that does not wait, and that an outage is noticed by that call.
func TestWatchThatBreaksInAnOutageIsNotReportedAsCut(t *testing.T) {
	store := memory.New(nil)
	s := New(store, func() []metastore.Store { return nil }, nil)
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.Watch(context.Background(), "a/", 1, time.Hour)
		ended <- err
	}()
	require.Eventually(t, func() bool { return store.Calls() == 1 }, time.Minute, time.Millisecond)
	store.SetFaults(memory.Faults{Down: true})
	require.True(t, unanswered(<-ended))
}
