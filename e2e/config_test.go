package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
)

// configTarget is the promised time within which an accepted change is in
// force everywhere.
const configTarget = 5 * time.Second

// operatorTimeout bounds one call of an operator.
const operatorTimeout = 10 * time.Second

func operatorAt(entry *proctest.Entry) *operator.Client {
	return operator.NewClient(entry.InternalAddress(), &http.Client{Timeout: operatorTimeout})
}

// revisionAt returns the revision in force at an entry, -1 when it is silent.
func revisionAt(entry *proctest.Entry) int64 {
	state, err := operatorAt(entry).Classes(context.Background())
	if err != nil {
		return -1
	}
	return state.Revision
}

// withLateness is the tests' document with another lateness of one class.
func withLateness(seconds int64) string {
	return strings.Replace(classes, "lateness: 20s", fmt.Sprintf("lateness: %ds", 20+seconds), 1)
}

// watcher looks at the revisions of entries all the time.
type watcher struct {
	t       *testing.T
	entries []*proctest.Entry
	stop    chan struct{}
	looking sync.WaitGroup

	mu   sync.Mutex
	seen map[string]map[int64]time.Time // first time at or above a revision
}

func (w *world) watchRevisions(entries []*proctest.Entry) *watcher {
	watch := &watcher{t: w.t, entries: entries, stop: make(chan struct{}), seen: map[string]map[int64]time.Time{}}
	for _, entry := range entries {
		watch.looking.Go(func() { watch.look(entry) })
	}
	return watch
}

// look checks that revisions only rise, and notes when they were seen.
func (watch *watcher) look(entry *proctest.Entry) {
	newest := int64(0)
	for {
		if revision := revisionAt(entry); revision >= 0 {
			assert.GreaterOrEqual(watch.t, revision, newest, "the configuration of %s went back", entry.ID)
			watch.note(entry.ID, newest, revision)
			newest = max(newest, revision)
		}
		select {
		case <-watch.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (watch *watcher) note(id string, newest, revision int64) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.seen[id] == nil {
		watch.seen[id] = map[int64]time.Time{}
	}
	for r := newest + 1; r <= revision; r++ {
		watch.seen[id][r] = time.Now()
	}
}

// requireInForce checks that all entries had a revision within the target of a
// moment; it waits for them first.
func (watch *watcher) requireInForce(revision int64, since time.Time) {
	watch.t.Helper()
	for _, entry := range watch.entries {
		when := func() time.Time {
			watch.mu.Lock()
			defer watch.mu.Unlock()
			return watch.seen[entry.ID][revision]
		}
		require.Eventually(watch.t, func() bool { return !when().IsZero() }, patience, 10*time.Millisecond, "%s never got revision %d", entry.ID, revision)
		assert.LessOrEqual(watch.t, when().Sub(since), configTarget, "%s got revision %d late", entry.ID, revision)
	}
}

func (watch *watcher) close() {
	close(watch.stop)
	watch.looking.Wait()
}

// accepted is a change that an operator was told is accepted.
type accepted struct {
	revision int64
	who      string
	at       time.Time
}

// change sends a change until its outcome is known, through any entry; false
// when it was refused.
func (w *world) change(random *rand.Rand, entries []*proctest.Entry, change operator.Change) (accepted, bool) {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		entry := entries[random.IntN(len(entries))]
		reply, err := operatorAt(entry).Apply(context.Background(), change)
		if err == nil {
			return accepted{revision: reply.Revision, who: change.Who, at: time.Now()}, true
		}
		if refusal, told := operator.RefusalOf(err); told && !refusal.Unknown {
			return accepted{}, false
		}
		<-time.After(50 * time.Millisecond)
	}
	assert.Fail(w.t, "the outcome of a change never became known")
	return accepted{}, false
}

// TestOperatorsRace: promise 9. Operators race through all entries while the
// store is slow and loses replies; what was accepted is never undone.
func TestOperatorsRace(t *testing.T) {
	w := newWorld(t, shape{entries: 4})
	entries := w.Entries()
	watch := w.watchRevisions(entries)
	require.NoError(t, w.StoreControl().Put("/faults", fault.Fault{LoseReplies: 8, SlowMillis: 20}))
	var operators sync.WaitGroup
	var mu sync.Mutex
	var all []accepted
	for who := range 4 {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(who)))
			for round := range 8 {
				base := revisionAt(entries[random.IntN(len(entries))])
				change := operator.Change{
					ID:     config.ChangeID(fmt.Sprintf("operator%d-change%d", who, round)),
					Who:    fmt.Sprintf("operator%d", who),
					Expect: base, Classes: withLateness(int64(1 + 10*who + round)),
				}
				if got, ok := w.change(random, entries, change); ok {
					mu.Lock()
					all = append(all, got)
					mu.Unlock()
				}
			}
		})
	}
	operators.Wait()
	require.NotEmpty(t, all)
	byRevision := map[int64]string{}
	for _, a := range all {
		other, taken := byRevision[a.revision]
		assert.False(t, taken, "revision %d was given to %s and %s", a.revision, other, a.who)
		byRevision[a.revision] = a.who
		watch.requireInForce(a.revision, a.at)
	}
	watch.close()
	w.requireHistory(byRevision)
}

// requireHistory checks that the history tells of every accepted change.
func (w *world) requireHistory(byRevision map[int64]string) {
	w.t.Helper()
	history, err := operatorAt(w.Entries()[0]).History(context.Background())
	require.NoError(w.t, err)
	for _, change := range history {
		if who, known := byRevision[change.Revision]; known {
			assert.Equal(w.t, who, change.Who, "revision %d", change.Revision)
		}
	}
}

// applyNext makes a change through one entry and returns its revision.
func (w *world) applyNext(entry *proctest.Entry, number int64) accepted {
	w.t.Helper()
	change := operator.Change{
		ID:  config.ChangeID(fmt.Sprintf("change%d", number)),
		Who: "operator", Expect: config.AnyRevision, Classes: withLateness(number),
	}
	reply, err := operatorAt(entry).Apply(w.t.Context(), change)
	require.NoError(w.t, err)
	return accepted{revision: reply.Revision, at: time.Now()}
}

// TestChangeReachesEntriesThatCannotReachTheStore: promise 9 with the store out
// of reach right after the write.
func TestChangeReachesEntriesThatCannotReachTheStore(t *testing.T) {
	w := newWorld(t, shape{entries: 4})
	entries := w.Entries()
	watch := w.watchRevisions(entries)
	for _, entry := range entries[1:] {
		entry.StoreLink.Cut()
	}
	change := w.applyNext(entries[0], 1)
	require.NoError(t, w.StoreControl().Put("/faults", fault.Fault{Down: true}))
	watch.requireInForce(change.revision, change.at)
	watch.close()
}

// TestEntryThatStartsInTheOutage: promise 9. It gets the newest revision from
// its peers.
func TestEntryThatStartsInTheOutage(t *testing.T) {
	w := newWorld(t, shape{entries: 3, services: 1})
	change := w.applyNext(w.Entries()[0], 1)
	require.NoError(t, w.StoreControl().Put("/faults", fault.Fault{Down: true}))
	late := w.startEntry()
	started := time.Now()
	watch := w.watchRevisions([]*proctest.Entry{late})
	watch.requireInForce(change.revision, started)
	watch.close()
	w.awaitEntry(late, shape{services: 1})
}

// TestEntryThatWasPaused: promise 9 for an entry that was paused while changes
// were made, past its lease.
func TestEntryThatWasPaused(t *testing.T) {
	w := newWorld(t, shape{entries: 3})
	entries := w.Entries()
	entries[2].Pause()
	live := w.watchRevisions(entries[:2])
	var change accepted
	for number := range int64(3) {
		change = w.applyNext(entries[number%2], number+1)
		live.requireInForce(change.revision, change.at)
	}
	<-time.After(10 * time.Second) // past every lease that it holds
	resumed := time.Now()
	entries[2].Resume()
	watch := w.watchRevisions(entries[2:])
	watch.requireInForce(change.revision, resumed)
	watch.close()
	live.close()
}
