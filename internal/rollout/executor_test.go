package rollout

import (
	"context"
	"flag"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

// checks is the number of checks of the stateful tests, with and without -short. With
// -short, rapid divides the configured number by shortFactor.
const checks, shortFactor = 150, 5

func TestMain(m *testing.M) {
	flag.Parse()
	count := checks
	if testing.Short() {
		count *= shortFactor
	}
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(count), "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// inBubble runs one check in its own synctest bubble, which has a fake clock. A panic
// is passed on outside the bubble, where rapid expects it.
func inBubble(t *testing.T, check func()) {
	var failed any
	synctest.Test(t, func(*testing.T) {
		defer func() { failed = recover() }()
		check()
	})
	if failed != nil {
		panic(failed)
	}
}

// passTime advances the fake clock by d and waits until all goroutines are blocked.
func passTime(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// runExecutors starts one executor for each entry and returns a function that stops them.
func runExecutors(entries []*entry) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(entries))
	for _, e := range entries {
		executor := NewExecutor(e.options())
		go func() { done <- executor.Run(ctx) }()
	}
	return func() {
		cancel()
		for range entries {
			<-done
		}
		passTime(time.Hour) // orders in flight arrive
	}
}

func TestEnginesConvergeToTheNewestVersionWithoutRollback(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		inBubble(t, func() {
			f := newFleet(1, 4, time.Second)
			entries := []*entry{newEntry(f, "a"), newEntry(f, "b")}
			defer runExecutors(entries)()
			check.Repeat(f.actions(entries))
			f.clearFaults(entries)
			for range 300 {
				if f.settled() {
					break
				}
				passTime(10 * time.Second)
			}
			require.Empty(check, f.violations)
			require.True(check, f.settled(), "engines are not at the newest version")
		})
	})
}

// actions returns the actions of the stateful test, by name.
func (f *fleet) actions(entries []*entry) map[string]func(*rapid.T) {
	injectFault := func(t *rapid.T, fault func(*fakeEngine)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		fault(f.engines[rapid.SampledFrom([]string{"d0-0", "d0-1", "d0-2", "d0-3"}).Draw(t, "engine")])
	}
	return map[string]func(*rapid.T){
		"":            func(*rapid.T) { synctest.Wait() },
		"new version": func(*rapid.T) { f.accept() },
		"entry without updates": func(t *rapid.T) {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			f.mu.Lock()
			defer f.mu.Unlock()
			e.noUpdates = !e.noUpdates
		},
		"slow order":    func(t *rapid.T) { injectFault(t, func(e *fakeEngine) { e.extraWork = 4 * time.Second }) },
		"lease expires": func(*rapid.T) { f.expireLease(unitOf("m", "d0"), entries) },
		"slow network": func(t *rapid.T) {
			delay := time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second
			injectFault(t, func(e *fakeEngine) { e.delay = delay })
		},
		"held order": func(t *rapid.T) {
			extraDelay := time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
			injectFault(t, func(e *fakeEngine) { e.extraDelay = extraDelay })
		},
		"lost replies":  func(t *rapid.T) { injectFault(t, func(e *fakeEngine) { e.repliesToLose = 2 }) },
		"failing swaps": func(t *rapid.T) { injectFault(t, func(e *fakeEngine) { e.swapsToFail = 2 }) },
		"restart": func(t *rapid.T) {
			injectFault(t, func(e *fakeEngine) {
				e.state.Active, e.state.Staged, e.state.Broken, e.everStaged = 1, 0, false, map[int64]bool{}
			})
		},
		"time passes": func(t *rapid.T) {
			passTime(time.Duration(rapid.IntRange(1_000, 60_000).Draw(t, "milliseconds")) * time.Millisecond)
		},
		"a moment passes": func(t *rapid.T) {
			passTime(time.Duration(rapid.IntRange(500, 8_000).Draw(t, "milliseconds")) * time.Millisecond)
		},
	}
}

// clearFaults ends all faults that last until cleared.
func (f *fleet) clearFaults(entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		e.noUpdates = false
	}
	for _, e := range f.engines {
		e.delay, e.repliesToLose, e.swapsToFail = 0, 0, 0
	}
}

func TestCapacityIsKeptDuringARollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 9, 4*time.Second)
		defer runExecutors([]*entry{newEntry(f, "a")})()
		f.accept()
		passTime(5 * time.Minute)
		require.True(t, f.settled())
		for domain, maxBusy := range f.maxBusy {
			require.LessOrEqual(t, maxBusy, 4, "at least half of the 9 replicas in %s are free of orders", domain)
		}
	})
}

func TestCapacityIsKeptWhenARolloutIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 9, 4*time.Second)
		defer runExecutors([]*entry{newEntry(f, "a")})()
		for range 20 {
			f.accept()
			passTime(2500 * time.Millisecond)
		}
		passTime(5 * time.Minute)
		require.True(t, f.settled())
		require.LessOrEqual(t, f.maxBusy["d0"], 4, "at least half of the 9 replicas are free of orders")
	})
}

func TestDomainsActivateTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2, time.Second)
		f.engines["d1-1"].work = 60 * time.Second
		defer runExecutors([]*entry{newEntry(f, "a")})()
		f.accept()
		passTime(55 * time.Second)
		require.EqualValues(t, 1, f.engines["d0-0"].state.Active, "a staged domain waits for the others")
		f.mu.Lock()
		f.engines["d1-1"].work = time.Second
		f.mu.Unlock()
		passTime(30 * time.Second)
		require.True(t, f.settled())
	})
}

func TestNoOrdersDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2, time.Second)
		e := newEntry(f, "a")
		options := e.options()
		view := f.store.View()
		view.SetDown(true)
		options.Store = view
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- NewExecutor(options).Run(ctx) }()
		f.accept()
		passTime(time.Minute)
		require.EqualValues(t, 1, f.engines["d0-0"].state.Active)
		view.SetDown(false)
		passTime(time.Minute)
		require.True(t, f.settled())
		cancel()
		require.NoError(t, <-done)
	})
}

func TestBrokenReplicaIsUnreadyUntilVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, time.Second)
		f.engines["d0-1"].swapsToFail = 1000
		defer runExecutors([]*entry{newEntry(f, "a")})()
		f.accept()
		passTime(time.Minute)
		require.True(t, f.unready["d0-1"])
		require.False(t, f.unready["d0-0"])
		f.clearFaults(nil)
		passTime(time.Minute)
		require.False(t, f.unready["d0-1"])
		require.True(t, f.settled())
	})
}
