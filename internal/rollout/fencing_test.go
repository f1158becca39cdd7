package rollout

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// engines of newFleet: even ones check fencing numbers but no deadlines, odd
// ones the other way round.
const (
	checking = "d0-0"
	ignoring = "d0-1"
)

// replaceOwner lets version 2 be staged, spoils the order that activates it on
// one engine, and replaces the owner while that order is on its way. Version 3
// is accepted meanwhile.
func replaceOwner(t *testing.T, engine string, spoil func(*fakeEngine)) *fleet {
	f := newFleet(1, 2, time.Second)
	entries := []*entry{newEntry(f, "a"), newEntry(f, "b")}
	f.accept()
	spoil(f.engines[engine])
	defer runCarriers(entries)()
	for f.awaits(engine) {
		passTime(100 * time.Millisecond)
	}
	f.lapse(unitOf("m", "d0"), entries)
	f.accept()
	passTime(5 * time.Minute)
	require.True(t, f.settled())
	return f
}

// awaits reports whether the order that is to be held up is not on its way yet.
func (f *fleet) awaits(engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[engine].heldSwap > 0
}

func TestLateOrderOfAFormerOwnerIsRefused(t *testing.T) {
	for _, engine := range []string{checking, ignoring} {
		t.Run(engine, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := replaceOwner(t, engine, func(e *fakeEngine) { e.heldSwap = time.Minute })
				require.Empty(t, f.broken)
			})
		})
	}
}

func TestSuccessorWaitsOutAnOrderThatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := replaceOwner(t, ignoring, func(e *fakeEngine) { e.heldSwap, e.slowSwap = 1900*time.Millisecond, 4*time.Second })
		require.Empty(t, f.broken)
	})
}

func TestEntryThatHeardOfNoNewerVersionBringsNoneBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2, time.Second)
		deaf := newEntry(f, "a")
		deaf.deaf, deaf.heard = true, 1
		entries := []*entry{deaf, newEntry(f, "b")}
		defer runCarriers(entries)()
		f.accept()
		passTime(10 * time.Minute)
		require.Empty(t, f.broken)
		require.True(t, f.settled())
	})
}
