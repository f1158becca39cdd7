package e2e

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

// smallSpec describes a cluster with a few entries, engines and services.
var smallSpec = clusterSpec{entries: 3, engines: 3, services: 2}

// TestEntryKilledInMidStream checks guarantees 4, 5 and 6 while entries are killed under load and
// their callers retry through other entries.
func TestEntryKilledInMidStream(t *testing.T) {
	env := newEnvironment(t, smallSpec)
	l := &load{env: env, workers: 8, rounds: 25, attempts: 20}
	wait := l.start()
	random := rand.New(rand.NewPCG(seed, 1))
	for kill := range 2 {
		l.awaitEnded(t, int64(40+60*kill+random.IntN(20)))
		entries := env.Entries()
		victim := entries[random.IntN(len(entries))]
		victim.Kill()
		require.NoError(t, env.RemoveEntry(victim))
		env.startEntry()
	}
	wait()
	l.checkAgainstJournals()
}

// TestEntriesReplacedOneByOne checks guarantee 8 while all entries are replaced under load: no
// request in flight is interrupted, so that no attempt is lost or has an unknown outcome, and a
// request that was refused as not run is answered when it is retried.
func TestEntriesReplacedOneByOne(t *testing.T) {
	l := replaceAllEntries(t, 40)
	l.requireAllComplete()
	for _, r := range l.requests {
		assert.NotContains(t, r.outcomes, outcomeLost, "interrupted: %s", r)
		assert.NotContains(t, r.outcomes, outcomeUnknown, "interrupted: %s", r)
	}
}

// TestReplacementRefusesNothing checks a stricter form of guarantee 8: a leaving entry hands over
// without refusing a single request.
func TestReplacementRefusesNothing(t *testing.T) {
	replaceAllEntries(t, 1).requireAllComplete()
}

// replaceAllEntries replaces all entries under load, whose callers send each request at most
// attempts times.
func replaceAllEntries(t *testing.T, attempts int) *load {
	t.Helper()
	env := newEnvironment(t, smallSpec)
	l := &load{env: env, workers: 8, rounds: 40, attempts: attempts}
	wait := l.start()
	for i, old := range env.Entries() {
		l.awaitEnded(t, int64(30+60*i))
		env.replaceEntry(old, smallSpec)
	}
	wait()
	l.checkAgainstJournals()
	return l
}

// replaceEntry starts a new entry and terminates an old one with SIGTERM.
func (env *environment) replaceEntry(old *proctest.Entry, s clusterSpec) {
	env.t.Helper()
	env.awaitEntry(env.startEntry(), s)
	require.Eventually(env.t, func() bool { return env.readyBackends() == len(env.Entries()) }, waitLimit, 10*time.Millisecond)
	old.Terminate()
	code, err := old.Wait(waitLimit)
	require.NoError(env.t, err)
	require.Zero(env.t, code, "%s did not exit with code 0", old.ID)
	require.NoError(env.t, env.RemoveEntry(old))
}

// TestEntryPausedPastItsLease checks guarantee 6 for an entry that owns claims: it is paused past
// its lease while its callers retry through other entries, and is then resumed.
func TestEntryPausedPastItsLease(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3, services: 2, serviceArgs: []string{"--delay", "100ms"}})
	l := &load{env: env, workers: 8, rounds: 30, attempts: 40, timeout: 2 * time.Second, kinds: []kind{kindUpdate}}
	wait := l.start()
	l.awaitEnded(t, 50)
	victim := env.Entries()[rand.New(rand.NewPCG(seed, 2)).IntN(3)]
	victim.Pause()
	// The other entries can answer the rest of the load only after they have taken over the claims.
	wait()
	victim.Resume()
	// This load repeats keys of the first one, whose check covers both.
	resumedLoad := &load{env: env, workers: 4, rounds: 10, attempts: 40, timeout: 2 * time.Second, kinds: []kind{kindUpdate}}
	require.Eventually(t, func() bool { return env.readyBackends() == 3 }, waitLimit, 10*time.Millisecond)
	resumedLoad.run()
	l.checkAgainstJournals()
	answered := 0
	for _, r := range l.requests {
		if r.complete {
			answered++
		}
	}
	assert.Positive(t, answered)
}
