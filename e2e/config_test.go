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

// configTarget is the guaranteed time from the acceptance of a change until every entry applies it.
const configTarget = 5 * time.Second

// operatorTimeout bounds one call of an operator's client.
const operatorTimeout = 10 * time.Second

func operatorAt(entry *proctest.Entry) *operator.Client {
	return operator.NewClient(entry.InternalAddress(), &http.Client{Timeout: operatorTimeout})
}

// revisionAt returns the configuration revision that an entry applies, or -1 if the entry does not
// respond.
func revisionAt(entry *proctest.Entry) int64 {
	state, err := operatorAt(entry).Classes(context.Background())
	if err != nil {
		return -1
	}
	return state.Revision
}

// withLateness returns the classes with the lateness of one class increased by a number of seconds.
func withLateness(seconds int64) string {
	return strings.Replace(classes, "lateness: 20s", fmt.Sprintf("lateness: %ds", 20+seconds), 1)
}

// watcher polls the revisions of entries until it is closed.
type watcher struct {
	t       *testing.T
	entries []*proctest.Entry
	stop    chan struct{}
	pollers sync.WaitGroup

	mu sync.Mutex
	// seen is the time when a revision or a later one was first seen, by entry and revision.
	seen map[string]map[int64]time.Time
}

func (env *environment) watchRevisions(entries []*proctest.Entry) *watcher {
	watch := &watcher{t: env.t, entries: entries, stop: make(chan struct{}), seen: map[string]map[int64]time.Time{}}
	for _, entry := range entries {
		watch.pollers.Go(func() { watch.poll(entry) })
	}
	return watch
}

// poll checks that the revision of an entry never decreases, and records when each was first seen.
func (watch *watcher) poll(entry *proctest.Entry) {
	newest := int64(0)
	for {
		if revision := revisionAt(entry); revision >= 0 {
			assert.GreaterOrEqual(watch.t, revision, newest, "the configuration revision of %s decreased", entry.ID)
			watch.record(entry.ID, newest, revision)
			newest = max(newest, revision)
		}
		select {
		case <-watch.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (watch *watcher) record(id string, newest, revision int64) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.seen[id] == nil {
		watch.seen[id] = map[int64]time.Time{}
	}
	for r := newest + 1; r <= revision; r++ {
		watch.seen[id][r] = time.Now()
	}
}

// requireInForce waits until all entries apply a revision and checks that each did within
// configTarget of a point in time.
func (watch *watcher) requireInForce(revision int64, since time.Time) {
	watch.t.Helper()
	for _, entry := range watch.entries {
		firstSeen := func() time.Time {
			watch.mu.Lock()
			defer watch.mu.Unlock()
			return watch.seen[entry.ID][revision]
		}
		require.Eventually(watch.t, func() bool { return !firstSeen().IsZero() }, waitLimit, 10*time.Millisecond, "%s did not apply revision %d", entry.ID, revision)
		assert.LessOrEqual(watch.t, firstSeen().Sub(since), configTarget, "%s applied revision %d too late", entry.ID, revision)
	}
}

func (watch *watcher) close() {
	close(watch.stop)
	watch.pollers.Wait()
}

// acceptedChange is a change whose acceptance was confirmed to the operator.
type acceptedChange struct {
	revision   int64
	who        string
	acceptedAt time.Time
}

// applyChange sends a change through random entries until its outcome is known. It returns false if
// the change was refused.
func (env *environment) applyChange(random *rand.Rand, entries []*proctest.Entry, change operator.Change) (acceptedChange, bool) {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		entry := entries[random.IntN(len(entries))]
		reply, err := operatorAt(entry).Apply(context.Background(), change)
		if err == nil {
			return acceptedChange{revision: reply.Revision, who: change.Who, acceptedAt: time.Now()}, true
		}
		if refusal, refused := operator.RefusalOf(err); refused && !refusal.Unknown {
			return acceptedChange{}, false
		}
		<-time.After(50 * time.Millisecond)
	}
	assert.Fail(env.t, "the outcome of a change is still unknown")
	return acceptedChange{}, false
}

// TestOperatorsRace checks guarantee 9 while operators send conflicting changes through all entries
// and the store is slow and loses responses: an accepted change is never undone.
func TestOperatorsRace(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 4})
	entries := env.Entries()
	watch := env.watchRevisions(entries)
	require.NoError(t, env.StoreControl().Put("/faults", fault.Fault{LoseReplies: 8, SlowMillis: 20}))
	var operators sync.WaitGroup
	var mu sync.Mutex
	var changes []acceptedChange
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
				if got, ok := env.applyChange(random, entries, change); ok {
					mu.Lock()
					changes = append(changes, got)
					mu.Unlock()
				}
			}
		})
	}
	operators.Wait()
	require.NotEmpty(t, changes)
	byRevision := map[int64]string{}
	for _, a := range changes {
		other, duplicate := byRevision[a.revision]
		assert.False(t, duplicate, "revision %d was assigned to both %s and %s", a.revision, other, a.who)
		byRevision[a.revision] = a.who
		watch.requireInForce(a.revision, a.acceptedAt)
	}
	watch.close()
	env.requireHistory(byRevision)
}

// requireHistory checks that each change in the history whose revision was accepted in the test names
// the operator who made it.
func (env *environment) requireHistory(byRevision map[int64]string) {
	env.t.Helper()
	history, err := operatorAt(env.Entries()[0]).History(context.Background())
	require.NoError(env.t, err)
	for _, change := range history {
		if who, known := byRevision[change.Revision]; known {
			assert.Equal(env.t, who, change.Who, "revision %d", change.Revision)
		}
	}
}

// applyNext applies a change through one entry and returns its revision.
func (env *environment) applyNext(entry *proctest.Entry, number int64) acceptedChange {
	env.t.Helper()
	change := operator.Change{
		ID:  config.ChangeID(fmt.Sprintf("change%d", number)),
		Who: "operator", Expect: config.AnyRevision, Classes: withLateness(number),
	}
	reply, err := operatorAt(entry).Apply(env.t.Context(), change)
	require.NoError(env.t, err)
	return acceptedChange{revision: reply.Revision, acceptedAt: time.Now()}
}

// TestChangeReachesEntriesThatCannotReachTheStore checks guarantee 9 if only the entry that writes a
// change can reach the store, and the store goes down right after the write: all entries still apply
// the change.
func TestChangeReachesEntriesThatCannotReachTheStore(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 4})
	entries := env.Entries()
	watch := env.watchRevisions(entries)
	for _, entry := range entries[1:] {
		entry.StoreLink.Cut()
	}
	change := env.applyNext(entries[0], 1)
	require.NoError(t, env.StoreControl().Put("/faults", fault.Fault{Down: true}))
	watch.requireInForce(change.revision, change.acceptedAt)
	watch.close()
}

// TestEntryStartedDuringStoreOutage checks guarantee 9 for an entry that starts while the store is
// down: it gets the newest revision from its peers.
func TestEntryStartedDuringStoreOutage(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3, services: 1})
	change := env.applyNext(env.Entries()[0], 1)
	require.NoError(t, env.StoreControl().Put("/faults", fault.Fault{Down: true}))
	started := env.startEntry()
	startedAt := time.Now()
	watch := env.watchRevisions([]*proctest.Entry{started})
	watch.requireInForce(change.revision, startedAt)
	watch.close()
	env.awaitEntry(started, clusterSpec{services: 1})
}

// TestPausedEntryCatchesUp checks guarantee 9 for an entry that was paused past its lease while
// changes were accepted.
func TestPausedEntryCatchesUp(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3})
	entries := env.Entries()
	entries[2].Pause()
	running := env.watchRevisions(entries[:2])
	var change acceptedChange
	for number := range int64(3) {
		change = env.applyNext(entries[number%2], number+1)
		running.requireInForce(change.revision, change.acceptedAt)
	}
	<-time.After(10 * time.Second) // longer than all leases of the paused entry
	resumed := time.Now()
	entries[2].Resume()
	watch := env.watchRevisions(entries[2:])
	watch.requireInForce(change.revision, resumed)
	watch.close()
	running.close()
}
