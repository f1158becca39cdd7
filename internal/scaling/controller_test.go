package scaling

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/route"
)

// fakePlatform is a platform with endpoints by group, a tenure, and calls that fail as a test
// says. Lost calls may take effect later.
type fakePlatform struct {
	there map[Group]int
	fail  func() error
	late  []Order
	calls []Order
	// beyond counts the orders that left a failure domain outside the limits.
	beyond int
}

func (f *fakePlatform) Do(ctx context.Context, call func(context.Context, duty.Credentials) error) error {
	return call(ctx, duty.Credentials{Holder: "n", Generation: 1})
}

func (f *fakePlatform) OrderEndpoints(_ context.Context, _ duty.Credentials, _ string, order Order) error {
	f.calls = append(f.calls, order)
	if f.fail != nil {
		if err := f.fail(); err != nil {
			return err
		}
	}
	other := Group{order.Domain, Ordinary + Reclaimable - order.Kind}
	if sum := order.Count + f.there[other]; sum > controllerLimits.Max || sum < controllerLimits.Min {
		f.beyond++
	}
	f.there[order.Group] = order.Count
	return nil
}

var controllerLimits = &route.Scaling{Min: 1, Max: 10, StartTime: time.Second, ReclaimablePrice: 0.3, DomainPrices: map[string]float64{"a": 1, "b": 1, "c": 1}}

func newTestController(f *fakePlatform, open *int) *Controller {
	return NewController(Options{
		Service: "s", Tenure: f, Orderer: f, Logger: slog.New(slog.DiscardHandler),
		Observe: func(now time.Time) (*Input, bool) {
			there := map[Group]Count{}
			for group, count := range f.there {
				there[group] = Count{Ready: count}
			}
			return &Input{Now: now, Limits: controllerLimits, Slots: 4, There: there, Streams: []Stream{{Open: *open}}}, true
		},
	})

}

// played runs rounds of a controller for a number of seconds and returns the time after them.
func played(c *Controller, now time.Time, seconds int) time.Time {
	for range 2 * seconds {
		c.now = func() time.Time { return now }
		c.round(context.Background())
		now = now.Add(decideInterval)
	}
	return now
}

func (f *fakePlatform) total() int {
	total := 0
	for _, count := range f.there {
		total += count
	}
	return total
}

// TestUnconfirmedOrdersAreRepeated checks that an order without an answer is repeated until
// it is confirmed, and never again after that.
func TestUnconfirmedOrdersAreRepeated(t *testing.T) {
	open, failing := 20, true
	f := &fakePlatform{there: map[Group]int{}}
	f.fail = func() error {
		if failing {
			return duty.ErrUnknown.New("no answer")
		}
		return nil
	}
	c := newTestController(f, &open)
	now := played(c, testStart, 1)
	require.NotEmpty(t, f.calls)
	first := f.calls[0]
	failing = false
	now = played(c, now, 1)
	require.Equal(t, first.Count, f.there[first.Group])
	require.Empty(t, c.unconfirmed)
	calls := len(f.calls)
	played(c, now, 30)
	require.Len(t, f.calls, calls)
}

// TestNothingIsRecordedOfCallsThatWereNotMade checks that orders which had no effect are made
// when they are possible again.
func TestNothingIsRecordedOfCallsThatWereNotMade(t *testing.T) {
	open := 20
	var failure error = duty.ErrOverRate.New("429")
	f := &fakePlatform{there: map[Group]int{}}
	f.fail = func() error { return failure }
	c := newTestController(f, &open)
	now := played(c, testStart, 3)
	require.Len(t, f.calls, 6, "one call in each round")
	require.Empty(t, c.planner.orders)
	failure = nil
	played(c, now, 1)
	require.Equal(t, c.Status().Urgent, 9)
	require.GreaterOrEqual(t, f.total(), 9)
}

// TestTargetsAreReachedDespiteLostAndLateCalls plays rounds in which calls are lost, refused
// or take effect seconds later, after newer ones, and the holder changes. In the end the
// platform has what the demand needs and orders stop.
func TestTargetsAreReachedDespiteLostAndLateCalls(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 31))
		open := 24
		f := &fakePlatform{there: map[Group]int{{"a", Ordinary}: 3, {"b", Ordinary}: 3}}
		faults := true
		f.fail = func() error {
			order := f.calls[len(f.calls)-1]
			switch kind := rng.IntN(6); {
			case !faults:
				return nil
			case kind == 0:
				f.late = append(f.late, order)
				return duty.ErrUnknown.New("lost")
			case kind == 1:
				return duty.ErrRefused.New("none")
			case kind == 2:
				return duty.ErrOverRate.New("429")
			}
			return nil
		}
		c := newTestController(f, &open)
		now := testStart
		for range 60 {
			now = played(c, now, 1)
			if len(f.late) > 0 && rng.IntN(3) == 0 {
				f.there[f.late[0].Group] = f.late[0].Count
				f.late = f.late[1:]
			}
			switch rng.IntN(12) {
			case 0:
				c = newTestController(f, &open) // the holder changed
			case 1:
				open = 8 + rng.IntN(60)
			}
		}
		faults, open, f.beyond, f.late = false, 24, 0, nil
		c = newTestController(f, &open)
		now = played(c, now, 60)
		calls := len(f.calls)
		played(c, now, 20)
		require.Len(t, f.calls, calls, "seed %d: orders stop", seed)
		require.Zero(t, f.beyond, "seed %d", seed)
		require.GreaterOrEqual(t, f.total(), c.Status().Urgent, "seed %d", seed)
		for _, domain := range []string{"a", "b", "c"} {
			require.LessOrEqual(t, f.there[Group{domain, Ordinary}]+f.there[Group{domain, Reclaimable}], controllerLimits.Max, "seed %d", seed)
		}
	}
}
