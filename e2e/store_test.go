package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
)

// TestStoreFaultsUnderUpdates: promises 5 and 6 while the key-value service is
// down, slow, and losing the replies of writes that took effect.
func TestStoreFaultsUnderUpdates(t *testing.T) {
	w := newWorld(t, smallWorld)
	l := &load{w: w, workers: 8, rounds: 60, attempts: 20, timeout: 3 * time.Second, kinds: []kind{kindUpdate, kindAnswer, kindLookup}}
	wait := l.start()
	for i, f := range []fault.Fault{{LoseReplies: 5}, {SlowMillis: 200}, {Drop: true}, {Down: true}} {
		l.reach(t, int64(40+60*i))
		require.NoError(t, w.StoreControl().Put("/faults", f))
	}
	require.NoError(t, w.StoreControl().Delete("/faults"))
	wait()
	l.checkTruth()
}

// TestStoreDownForLong: what needs no claim is still served in an outage, and
// updates are refused as not run and go on after it.
func TestStoreDownForLong(t *testing.T) {
	w := newWorld(t, smallWorld)
	require.NoError(t, w.StoreControl().Put("/faults", fault.Fault{Down: true}))
	safe := &load{w: w, workers: 4, rounds: 20, attempts: 1, kinds: append([]kind{kindLookup}, answers...)}
	safe.run()
	safe.checkTruth()
	safe.requireAllWhole()
	updates := &load{w: w, workers: 4, rounds: 5, attempts: 1, kinds: []kind{kindUpdate}}
	updates.run()
	updates.checkTruth()
	for _, a := range updates.asked {
		assert.NotEqual(t, outcomeUnknown, a.last.outcome, "not known although it reached no service: %s", a)
	}
	require.NoError(t, w.StoreControl().Delete("/faults"))
	c := newCaller(w, w.BalancerAddress())
	require.Eventually(t, func() bool {
		return c.update("/wells/after", "after", "x", callTimeout).outcome == outcomeAnswered
	}, patience, 100*time.Millisecond)
}

// TestEntryCutOffFromTheStore: promises 5 and 6 when one entry alone loses the
// key-value service past its lease, and gets it back.
func TestEntryCutOffFromTheStore(t *testing.T) {
	w := newWorld(t, smallWorld)
	victim := w.Entries()[1]
	phases := []struct {
		name     string
		act      func()
		attempts int
	}{
		{"before", func() {}, 1},
		{"held", victim.StoreLink.Stall, 5},
		{"cut", victim.StoreLink.Cut, 5},
		{"restored", victim.StoreLink.Restore, 100},
	}
	for _, phase := range phases {
		phase.act()
		l := &load{w: w, name: phase.name, workers: 8, rounds: 10, attempts: phase.attempts, timeout: 3 * time.Second, kinds: []kind{kindUpdate}}
		l.run()
		l.checkTruth()
		if phase.name == "restored" {
			l.requireAllWhole()
		}
	}
}

// TestOthersTakeOverFromAnEntryCutOff: an entry that alone has lost the
// key-value service loses its partitions of claims to the others, so that
// updates go on.
func TestOthersTakeOverFromAnEntryCutOff(t *testing.T) {
	w := newWorld(t, smallWorld)
	l := &load{w: w, workers: 4, rounds: 10, attempts: 5, kinds: []kind{kindUpdate}}
	l.run() // all partitions have owners now
	entries := w.Entries()
	entries[1].StoreLink.Cut()
	healthy := newCaller(w, entries[0].CallerAddress())
	for i := range 32 {
		key := fmt.Sprintf("after-%d", i)
		require.Eventually(t, func() bool {
			return healthy.update("/wells/"+key, key, "x", 3*time.Second).outcome == outcomeAnswered
		}, patience, 100*time.Millisecond, "%s is not answered while one of three entries is cut off", key)
	}
}
