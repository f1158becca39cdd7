package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines of newFleet. Those with even numbers check fencing numbers but no deadlines,
// those with odd numbers check deadlines but no fencing numbers.
const (
	fenceChecking = "d0-0"
	fenceIgnoring = "d0-1"
)

// replaceOwner rolls out version 2, injects a fault into the order that activates it on
// one engine, and replaces the owner while that order is in flight. Version 3 is then
// accepted.
func replaceOwner(t *testing.T, engine string, injectFault func(*fakeEngine)) *fleet {
	f := newFleet(1, 2, time.Second)
	entries := []*entry{newEntry(f, "a"), newEntry(f, "b")}
	f.accept()
	injectFault(f.engines[engine])
	defer runExecutors(entries)()
	for f.swapPending(engine) {
		passTime(100 * time.Millisecond)
	}
	f.expireLease(unitOf("m", "d0"), entries)
	f.accept()
	passTime(5 * time.Minute)
	require.True(t, f.settled())
	return f
}

// swapPending reports whether the activation that is to be delayed has not been sent
// yet.
func (f *fleet) swapPending(engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[engine].extraSwapDelay > 0
}

func TestDelayedOrderOfAPreviousOwnerIsRejected(t *testing.T) {
	for _, engine := range []string{fenceChecking, fenceIgnoring} {
		t.Run(engine, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := replaceOwner(t, engine, func(e *fakeEngine) { e.extraSwapDelay = time.Minute })
				require.Empty(t, f.violations)
			})
		})
	}
}

func TestSuccessorWaitsForARunningOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replaceOwner(t, fenceIgnoring, func(e *fakeEngine) { e.extraSwapDelay, e.extraSwapWork = 1900*time.Millisecond, 4*time.Second })
		require.Empty(t, f.violations)
	})
}

func TestEntryWithAnOutdatedVersionDoesNotRollBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2, time.Second)
		noUpdates := newEntry(f, "a")
		noUpdates.noUpdates, noUpdates.knownVersion = true, 1
		entries := []*entry{noUpdates, newEntry(f, "b")}
		defer runExecutors(entries)()
		f.accept()
		passTime(10 * time.Minute)
		require.Empty(t, f.violations)
		require.True(t, f.settled())
	})
}
