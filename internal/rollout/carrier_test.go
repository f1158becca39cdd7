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

// checks is the number of checks of the stateful tests, with -short too, which
// makes rapid run a fifth of what it is told.
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

// inBubble runs one check in a bubble of its own, whose time is fake.
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

// pass lets fake time go on.
func passTime(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// runCarriers starts one carrier for each entry; the function ends them.
func runCarriers(entries []*entry) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(entries))
	for _, e := range entries {
		carrier := NewCarrier(e.options())
		go func() { done <- carrier.Run(ctx) }()
	}
	return func() {
		cancel()
		for range entries {
			<-done
		}
		passTime(time.Hour) // orders on their way arrive
	}
}

func TestEnginesEndAtTheNewestVersionAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		inBubble(t, func() {
			f := newFleet(1, 4, time.Second)
			entries := []*entry{newEntry(f, "a"), newEntry(f, "b")}
			defer runCarriers(entries)()
			check.Repeat(f.actions(entries))
			f.heal(entries)
			for range 300 {
				if f.settled() {
					break
				}
				passTime(10 * time.Second)
			}
			require.Empty(check, f.broken)
			require.True(check, f.settled(), "engines are not at the newest version")
		})
	})
}

// actions are the steps of the stateful test.
func (f *fleet) actions(entries []*entry) map[string]func(*rapid.T) {
	spoil := func(t *rapid.T, how func(*fakeEngine)) {
		f.mu.Lock()
		defer f.mu.Unlock()
		how(f.engines[rapid.SampledFrom([]string{"d0-0", "d0-1", "d0-2", "d0-3"}).Draw(t, "engine")])
	}
	return map[string]func(*rapid.T){
		"":            func(*rapid.T) { synctest.Wait() },
		"new version": func(*rapid.T) { f.accept() },
		"deaf entry": func(t *rapid.T) {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			f.mu.Lock()
			defer f.mu.Unlock()
			e.deaf = !e.deaf
		},
		"slow order":   func(t *rapid.T) { spoil(t, func(e *fakeEngine) { e.slow = 4 * time.Second }) },
		"lease lapses": func(*rapid.T) { f.lapse(unitOf("m", "d0"), entries) },
		"slow network": func(t *rapid.T) {
			delay := time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second
			spoil(t, func(e *fakeEngine) { e.delay = delay })
		},
		"held up": func(t *rapid.T) {
			held := time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second
			spoil(t, func(e *fakeEngine) { e.held = held })
		},
		"lost replies":  func(t *rapid.T) { spoil(t, func(e *fakeEngine) { e.loseReply = 2 }) },
		"failing swaps": func(t *rapid.T) { spoil(t, func(e *fakeEngine) { e.failSwap = 2 }) },
		"restart": func(t *rapid.T) {
			spoil(t, func(e *fakeEngine) {
				e.state.Active, e.state.Staged, e.state.Broken, e.kept = 1, 0, false, map[int64]bool{}
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

// heal ends all faults.
func (f *fleet) heal(entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		e.deaf = false
	}
	for _, e := range f.engines {
		e.delay, e.loseReply, e.failSwap = 0, 0, 0
	}
}

func TestShareOfCapacityIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 9, 4*time.Second)
		defer runCarriers([]*entry{newEntry(f, "a")})()
		f.accept()
		passTime(5 * time.Minute)
		require.True(t, f.settled())
		for domain, most := range f.most {
			require.LessOrEqual(t, most, 4, "half of 9 replicas are kept in %s", domain)
		}
	})
}

func TestShareIsKeptWhenARolloutIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 9, 4*time.Second)
		defer runCarriers([]*entry{newEntry(f, "a")})()
		for range 20 {
			f.accept()
			passTime(2500 * time.Millisecond)
		}
		passTime(5 * time.Minute)
		require.True(t, f.settled())
		require.LessOrEqual(t, f.most["d0"], 4, "half of 9 replicas are kept")
	})
}

func TestDomainsActivateTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 2, time.Second)
		f.engines["d1-1"].work = 60 * time.Second
		defer runCarriers([]*entry{newEntry(f, "a")})()
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

func TestStoreOutageHoldsOrdersUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2, time.Second)
		e := newEntry(f, "a")
		options := e.options()
		view := f.store.View()
		view.SetDown(true)
		options.Store = view
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- NewCarrier(options).Run(ctx) }()
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

func TestBrokenReplicaIsOutUntilItIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, time.Second)
		f.engines["d0-1"].failSwap = 1000
		defer runCarriers([]*entry{newEntry(f, "a")})()
		f.accept()
		passTime(time.Minute)
		require.True(t, f.unready["d0-1"])
		require.False(t, f.unready["d0-0"])
		f.heal(nil)
		passTime(time.Minute)
		require.False(t, f.unready["d0-1"])
		require.True(t, f.settled())
	})
}
