package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

const (
	testHolderChange = 3 * time.Second
	testLength       = 90 * time.Second
	testSeeds        = 60
	manyPerSecond    = 1e6
)

// arrival is a call that reached the management interface.
type arrival struct {
	at         time.Time
	node       int
	generation int64
}

// world is the metadata store's record of one duty and what the management interface got.
// The record may name another node at any time, as after false suspicions.
type world struct {
	mu       sync.Mutex
	random   *rand.Rand
	epoch    int64
	arrivals []arrival
}

func (w *world) chance(one int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(one) == 0
}

func (w *world) upTo(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// violation returns which rule the arrivals break, or an empty string.
func (w *world) violation() string {
	for k, last := range w.arrivals {
		other := false
		for i := k - 1; i >= 0; i-- {
			before := w.arrivals[i]
			if before.generation > last.generation {
				return "a lower generation after a higher one"
			}
			if before.generation == last.generation && before.node != last.node {
				return "one generation of two nodes"
			}
			if last.at.Sub(before.at) >= testHolderChange {
				continue
			}
			other = other || before.node != last.node
			if other && before.node == last.node {
				return "two nodes in turn"
			}
		}
	}
	return ""
}

// player is a node that holds the duty from time to time.
type player struct {
	world *world
	id    int
	now   func() time.Duration
	// suspended is how long the node has been frozen so far.
	suspended time.Duration
	// mutate changes the tenure after its beginning.
	mutate func(*Held)
	// believes makes the node confirm its own generation without asking the store.
	believes bool
}

// confirm is a question to the store, whose answer may be lost or late, also because the node
// is frozen after it got the answer.
func (p *player) confirm(ctx context.Context, epoch int64) error {
	time.Sleep(p.world.upTo(50 * time.Millisecond))
	p.world.mu.Lock()
	newest := p.world.epoch == epoch
	p.world.mu.Unlock()
	switch {
	case p.world.chance(10):
		return errors.New("the answer was lost")
	case p.world.chance(10):
		frozen := p.world.upTo(8 * time.Second)
		time.Sleep(frozen)
		p.suspended += frozen
	case ctx.Err() != nil:
		return ctx.Err()
	}
	if newest || p.believes {
		return nil
	}
	return errors.New("there is a later holder")
}

// call reaches the interface after some time unless it is given up before.
func (p *player) call(ctx context.Context, credentials Credentials) error {
	select {
	case <-ctx.Done():
		return ErrUnknown.New("given up")
	case <-time.After(p.world.upTo(1200 * time.Millisecond)):
	}
	if ctx.Err() != nil {
		return ErrUnknown.New("given up")
	}
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.world.arrivals = append(p.world.arrivals, arrival{time.Now(), p.id, credentials.Generation})
	return nil
}

// hold acquires the duty and calls as often as it may until the given time.
func (p *player) hold(until time.Time) {
	p.world.mu.Lock()
	p.world.epoch++
	epoch := p.world.epoch
	p.world.mu.Unlock()
	tenure := Begin(Options{
		Credentials: Credentials{Holder: "node", Generation: epoch}, HolderChange: testHolderChange,
		Confirm: func(ctx context.Context) error { return p.confirm(ctx, epoch) },
		Pace:    NewPace(manyPerSecond, p.now), Now: p.now,
	})
	p.mutate(tenure)
	for time.Now().Before(until) {
		_ = tenure.Do(context.Background(), p.call) // the arrivals are what is checked
		time.Sleep(p.world.upTo(700 * time.Millisecond))
	}
	tenure.End()
}

// play lets three nodes hold a duty by turns and returns the violation and the number of
// calls.
func play(t *testing.T, seed uint64, adjust func(*player)) (violation string, calls int) {
	t.Helper()
	w := &world{random: rand.New(rand.NewPCG(seed, 1))}
	synctest.Test(t, func(*testing.T) {
		began := time.Now()
		var group sync.WaitGroup
		for id := range 3 {
			group.Go(func() {
				for time.Since(began) < testLength {
					time.Sleep(w.upTo(12 * time.Second))
					p := &player{world: w, id: id, mutate: func(*Held) {}}
					p.now = func() time.Duration { return time.Since(began) + time.Duration(id)*time.Hour }
					adjust(p)
					p.hold(time.Now().Add(w.upTo(25 * time.Second)))
				}
			})
		}
		group.Wait()
	})
	return w.violation(), len(w.arrivals)
}

func TestHoldersNeverMixTheirCalls(t *testing.T) {
	calls := 0
	for seed := range uint64(testSeeds) {
		violation, n := play(t, seed, func(*player) {})
		require.Empty(t, violation, "seed %d", seed)
		calls += n
	}
	require.Greater(t, calls, 5*testSeeds, "holders must get to call")
}

// TestFaultyHoldersAreFound shows that the oracle and the cases find what each part of the
// rule prevents.
func TestFaultyHoldersAreFound(t *testing.T) {
	faults := map[string]func(*player){
		"no wait after acquiring": func(p *player) {
			p.mutate = func(h *Held) { h.begins = 0 }
		},
		"a confirmation that lasts too long": func(p *player) {
			p.mutate = func(h *Held) { h.rule.holderChange *= 4 }
		},
		"no question to the store": func(p *player) { p.believes = true },
		"a clock that stops while the node is frozen": func(p *player) {
			real := p.now
			p.now = func() time.Duration { return real() - p.suspended }
		},
	}
	for name, adjust := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(testSeeds) {
				if violation, _ := play(t, seed, adjust); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			require.Fail(t, "the fault was not found")
		})
	}
}

func newTestTenure(began time.Time) *Held {
	now := func() time.Duration { return time.Since(began) }
	return Begin(Options{
		Credentials: Credentials{Holder: "node", Generation: 7}, HolderChange: testHolderChange,
		Confirm: func(context.Context) error { return nil }, Pace: NewPace(manyPerSecond, now), Now: now,
	})
}

func TestCallsAreNeverConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenure := newTestTenure(time.Now())
		time.Sleep(tenure.Waits())
		running, most := 0, 0
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				require.NoError(t, tenure.Do(t.Context(), func(context.Context, Credentials) error {
					running++
					most = max(most, running)
					time.Sleep(100 * time.Millisecond)
					running--
					return nil
				}))
			})
		}
		group.Wait()
		require.Equal(t, 1, most)
	})
}

func TestSupersededHolderNeverCallsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenure := newTestTenure(time.Now())
		time.Sleep(tenure.Waits())
		calls := 0
		call := func(context.Context, Credentials) error { calls++; return ErrSuperseded.New("later holder") }
		require.True(t, errorx.IsOfType(tenure.Do(t.Context(), call), ErrSuperseded))
		for range 10 {
			require.True(t, errorx.IsOfType(tenure.Do(t.Context(), call), ErrNotHeld))
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, calls)
	})
}

func TestEndGivesUpTheCallBeingMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenure := newTestTenure(time.Now())
		time.Sleep(tenure.Waits())
		var given error
		go func() {
			_ = tenure.Do(t.Context(), func(ctx context.Context, _ Credentials) error {
				<-ctx.Done()
				given = ctx.Err()
				return ErrUnknown.New("given up")
			})
		}()
		synctest.Wait()
		tenure.End()
		require.ErrorIs(t, given, context.Canceled)
	})
}

func TestPaceSharesTheRateAndBacksOff(t *testing.T) {
	now := time.Duration(0)
	pace := NewPace(50, func() time.Duration { return now })
	require.Zero(t, pace.reserve())
	require.Equal(t, time.Second*holderDivisor/50, pace.reserve())
	now = time.Minute
	previous := time.Duration(0)
	for range 4 {
		pace.refused()
		pause := pace.reserve()
		require.GreaterOrEqual(t, pause, minRefusalPause/2)
		require.LessOrEqual(t, pause, maxRefusalPause*3/2)
		require.GreaterOrEqual(t, pace.pause, previous)
		previous = pace.pause
		now += pause + pace.spacing
	}
	pace.accepted()
	require.Zero(t, pace.reserve())
}
