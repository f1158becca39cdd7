package control

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

func TestChangeSpreadsThoughStoreFailsRightAfterWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		first := f.start("entry0", f.memory)
		var others []*Manager
		for _, id := range []string{"entry1", "entry2", "entry3", "entry4", "entry5"} {
			view := f.memory.View()
			others = append(others, f.start(id, view))
			time.AfterFunc(3*time.Second, func() { view.SetDown(true) })
		}
		elapse(4 * time.Second)
		_, err := first.Apply(t.Context(), change("a", 0, time.Second))
		require.NoError(t, err)
		f.memory.SetDown(true)
		elapse(inForce)
		requireRevision(t, 1, others...)
		late := f.start("entry6", f.memory)
		elapse(inForce)
		requireRevision(t, 1, late)
		snapshot, confirmed := late.Snapshots().Confirmed(t.Context(), time.Now)
		require.True(t, confirmed, "peers confirm each other during the outage")
		require.False(t, snapshot.StoreReachable)
	})
}

func TestRevisionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		m := f.start("entry0", f.memory)
		_, err := m.Apply(t.Context(), change("a", 0, time.Second))
		require.NoError(t, err)
		value, err := f.memory.Get(t.Context(), config.Key)
		require.NoError(t, err)
		require.NoError(t, f.memory.Delete(t.Context(), config.Key, value.Revision))
		f.memory.Compact()
		elapse(time.Minute)
		requireRevision(t, 1, m)
	})
}

func TestConcurrentChangesOnTwoEntriesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(3)
		elapse(time.Second)
		errs := make(chan error, 2)
		go func() { _, err := managers[0].Apply(t.Context(), change("a", 0, time.Second)); errs <- err }()
		go func() { _, err := managers[1].Apply(t.Context(), change("b", 0, time.Minute)); errs <- err }()
		conflict, accepted := <-errs, <-errs
		if conflict == nil {
			conflict, accepted = accepted, conflict
		}
		require.NoError(t, accepted)
		require.True(t, errorx.IsOfType(conflict, config.ErrConflict), "%v", conflict)
		elapse(inForce)
		requireRevision(t, 1, managers...)
	})
}

// TestEntryWaitsForConfirmationAfterFreeze freezes an entry for a minute: nothing
// reaches it, its clock jumps afterwards, and a change is accepted in the meantime.
func TestEntryWaitsForConfirmationAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		view := f.memory.View()
		var frozen atomic.Bool
		var thawedBy atomic.Int64
		options := f.options("entry0", view)
		options.Now = func() time.Time {
			if frozen.Load() {
				return time.Unix(0, thawedBy.Load())
			}
			return time.Now()
		}
		m := f.run(New(options, slog.New(slog.DiscardHandler), nil))
		peer := f.start("entry1", f.memory)
		f.start("entry2", f.memory)
		elapse(3 * time.Second)
		_, confirmed := m.Snapshots().Confirmed(t.Context(), options.Now)
		require.True(t, confirmed)

		thawedBy.Store(time.Now().UnixNano())
		frozen.Store(true)
		view.SetDown(true)
		f.with(func() { f.cut["entry0"] = true })
		synctest.Wait() // an exchange that began before the cut may still bring news
		_, err := peer.Apply(t.Context(), change("a", 0, time.Second))
		require.NoError(t, err)
		elapse(time.Minute)
		requireRevision(t, 0, m)

		f.with(func() { f.cut["entry0"] = false })
		frozen.Store(false)
		wait, cancel := context.WithTimeout(t.Context(), inForce)
		defer cancel()
		snapshot, confirmed := m.Snapshots().Confirmed(wait, options.Now)
		require.True(t, confirmed)
		require.EqualValues(t, 1, snapshot.Classes.Revision)
	})
}

func TestIsolatedEntryReportsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		view := f.memory.View()
		m := f.start("entry0", view)
		f.start("entry1", f.memory)
		elapse(3 * time.Second)
		_, err := m.Apply(t.Context(), change("a", 0, time.Second))
		require.NoError(t, err)
		view.SetDown(true)
		f.with(func() { f.cut["entry0"] = true })
		elapse(10 * time.Second)
		snapshot, confirmed := m.Snapshots().Confirmed(t.Context(), time.Now)
		require.False(t, confirmed)
		require.True(t, snapshot.Isolated())
		require.EqualValues(t, 1, snapshot.Classes.Revision, "an isolated entry keeps its last class document")
		f.with(func() { f.cut["entry0"] = false })
		elapse(6 * time.Second)
		_, confirmed = m.Snapshots().Confirmed(t.Context(), time.Now)
		require.True(t, confirmed)
	})
}

func TestNumberOfWatchCallsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		view := f.memory.View()
		f.start("entry0", view)
		f.start("entry1", f.memory)
		elapse(10 * time.Second)
		before := view.Calls()
		elapse(200 * time.Second)
		after := view.Calls()
		require.LessOrEqual(t, after.Watches-before.Watches, int64(11), "one long watch call at a time")
		require.Equal(t, before.Reads, after.Reads)
	})
}

// TestChangeSpreadsToManyEntriesThroughPeersOnly makes the store unreachable for all
// entries but one.
func TestChangeSpreadsToManyEntriesThroughPeersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 40
		f := newFleet(t)
		defer f.stop()
		first := f.start("entry0", f.memory)
		var others []*Manager
		for i := 1; i < entries; i++ {
			view := f.memory.View()
			view.SetDown(true)
			others = append(others, f.start(fmt.Sprint("entry", i), view))
		}
		elapse(20 * time.Second)
		require.Len(t, first.Snapshots().Load().Peers, entries, "every entry knows all others")
		_, err := first.Apply(t.Context(), change("a", 0, time.Second))
		require.NoError(t, err)
		start, slowest := time.Now(), time.Duration(0)
		for _, m := range others {
			for m.Snapshots().Load().Classes.Revision != 1 {
				<-m.Snapshots().Changed()
			}
			slowest = max(slowest, time.Since(start))
		}
		t.Logf("in force on %d entries after %v", entries, slowest)
		require.LessOrEqual(t, slowest, inForce)
	})
}
