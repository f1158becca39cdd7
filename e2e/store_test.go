package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
)

// TestStoreFaultsUnderUpdates checks guarantees 5 and 6 while the key-value service is down, is
// slow, or loses the responses to writes that took effect.
func TestStoreFaultsUnderUpdates(t *testing.T) {
	env := newEnvironment(t, smallSpec)
	l := &load{env: env, workers: 8, rounds: 60, attempts: 20, timeout: 3 * time.Second, kinds: []kind{kindUpdate, kindCompletion, kindLookup}}
	wait := l.start()
	for i, f := range []fault.Fault{{LoseReplies: 5}, {SlowMillis: 200}, {Drop: true}, {Down: true}} {
		l.awaitEnded(t, int64(40+60*i))
		require.NoError(t, env.StoreControl().Put("/faults", f))
	}
	require.NoError(t, env.StoreControl().Delete("/faults"))
	wait()
	l.checkAgainstJournals()
}

// TestLongStoreOutage checks that requests that need no claim are served during an outage of the
// store, and that updates are refused as not run until the outage ends.
func TestLongStoreOutage(t *testing.T) {
	env := newEnvironment(t, smallSpec)
	require.NoError(t, env.StoreControl().Put("/faults", fault.Fault{Down: true}))
	idempotent := &load{env: env, workers: 4, rounds: 20, attempts: 1, kinds: append([]kind{kindLookup}, completionKinds...)}
	idempotent.run()
	idempotent.checkAgainstJournals()
	idempotent.requireAllComplete()
	updates := &load{env: env, workers: 4, rounds: 5, attempts: 1, kinds: []kind{kindUpdate}}
	updates.run()
	updates.checkAgainstJournals()
	for _, r := range updates.requests {
		assert.NotEqual(t, outcomeUnknown, r.last.outcome, "outcome unknown although the request reached no service: %s", r)
	}
	require.NoError(t, env.StoreControl().Delete("/faults"))
	c := newCaller(env, env.BalancerAddress())
	require.Eventually(t, func() bool {
		return c.update("/wells/after", "after", "x", callTimeout).outcome == outcomeAnswered
	}, waitLimit, 100*time.Millisecond)
}

// TestEntryCutOffFromTheStore checks guarantees 5 and 6 if a single entry cannot reach the
// key-value service for longer than its lease, and then can again.
func TestEntryCutOffFromTheStore(t *testing.T) {
	env := newEnvironment(t, smallSpec)
	victim := env.Entries()[1]
	phases := []struct {
		name     string
		apply    func()
		attempts int
	}{
		{"before", func() {}, 1},
		{"stalled", victim.StoreLink.Stall, 5},
		{"cut", victim.StoreLink.Cut, 5},
		{"restored", victim.StoreLink.Restore, 100},
	}
	for _, phase := range phases {
		phase.apply()
		l := &load{env: env, name: phase.name, workers: 8, rounds: 10, attempts: phase.attempts, timeout: 3 * time.Second, kinds: []kind{kindUpdate}}
		l.run()
		l.checkAgainstJournals()
		if phase.name == "restored" {
			l.requireAllComplete()
		}
	}
}

// TestPeersTakeOverFromEntryCutOffFromStore checks that the other entries take over the claim
// partitions of a single entry that cannot reach the key-value service, so that updates are still
// answered.
func TestPeersTakeOverFromEntryCutOffFromStore(t *testing.T) {
	env := newEnvironment(t, smallSpec)
	l := &load{env: env, workers: 4, rounds: 10, attempts: 5, kinds: []kind{kindUpdate}}
	l.run() // afterwards all partitions have owners
	entries := env.Entries()
	entries[1].StoreLink.Cut()
	healthy := newCaller(env, entries[0].CallerAddress())
	for i := range 32 {
		key := fmt.Sprintf("after-%d", i)
		require.Eventually(t, func() bool {
			return healthy.update("/wells/"+key, key, "x", 3*time.Second).outcome == outcomeAnswered
		}, waitLimit, 100*time.Millisecond, "%s is not answered while one of three entries is cut off", key)
	}
}
