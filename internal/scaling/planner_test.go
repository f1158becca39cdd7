package scaling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

var testStart = time.Unix(1_800_000_000, 0)

// testInput returns an input in which one stream of a plain service occupies open slots.
func testInput(after time.Duration, open int, there map[Group]Count) *Input {
	return &Input{Now: testStart.Add(after), Limits: simLimits, Slots: simSlots, There: there, Streams: []Stream{{Open: open}}}
}

// TestTargetsKeepLimits checks for arbitrary demand that no failure domain gets more or less
// than the limits allow, that refused groups get nothing new, that the urgent part is
// ordinary as far as possible, that each order keeps the limits for both kinds together, and
// that orders stop when they are carried out.
func TestTargetsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := &route.Scaling{Min: rapid.IntRange(0, 3).Draw(t, "min"), Max: rapid.IntRange(3, 12).Draw(t, "max"), StartTime: time.Second,
			ReclaimablePrice: rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "price"), DomainPrices: map[string]float64{"a": 0.8, "b": 1, "c": 1.3}}
		in := &Input{Now: testStart, Limits: limits, Slots: 4, There: map[Group]Count{}, Streams: []Stream{{Open: rapid.IntRange(1, 120).Draw(t, "open")}}}
		p := NewPlanner()
		for _, domain := range in.domains() {
			for _, kind := range []Kind{Ordinary, Reclaimable} {
				in.There[Group{domain, kind}] = Count{Ready: rapid.IntRange(0, limits.Max/2).Draw(t, "ready")}
				if rapid.IntRange(0, 4).Draw(t, "refused") == 0 {
					p.Refused(Group{domain, kind}, in)
				}
			}
		}
		plan := p.Plan(in)
		ordinary, blocked := 0, p.blocked(in)
		for _, domain := range in.domains() {
			sum := plan.Targets[Group{domain, Ordinary}] + plan.Targets[Group{domain, Reclaimable}]
			require.LessOrEqual(t, sum, limits.Max)
			if len(blocked) == 0 {
				require.GreaterOrEqual(t, sum, limits.Min)
			}
			ordinary += plan.Targets[Group{domain, Ordinary}]
		}
		for group := range blocked {
			require.LessOrEqual(t, plan.Targets[group], in.There[group].Ready)
		}
		if len(blocked) == 0 {
			require.GreaterOrEqual(t, ordinary, min(plan.Urgent, 3*(limits.Max-limits.Min)))
		}
		quiet := 0
		for round := 0; quiet < 2*refusalStarts; round++ {
			require.Less(t, round, 100, "orders stop")
			for _, order := range plan.Orders {
				up := order.Count > in.There[order.Group].Ready
				sum := order.Count + p.presentOrOrdered(in, order.other())
				require.False(t, up && sum > limits.Max || !up && sum < limits.Min, "%v of %v", order, in.There)
				p.Placed(order, in)
			}
			for _, order := range plan.Orders {
				in.There[order.Group] = Count{Ready: order.Count}
			}
			quiet++
			if len(plan.Orders) > 0 {
				quiet = 0
			}
			in.Now = in.Now.Add(limits.StartTime)
			plan = p.Plan(in)
		}
		require.GreaterOrEqual(t, in.ready(), min(plan.Urgent, 3*limits.Max))
	})
}

// TestNothingKnownChangesNothing checks that what is there stays until a demand was seen.
func TestNothingKnownChangesNothing(t *testing.T) {
	p := NewPlanner()
	for second := range 60 {
		plan := p.Plan(testInput(time.Duration(second)*time.Second, 0, map[Group]Count{{"a", Ordinary}: {Ready: 9}}))
		require.Equal(t, ReasonNone, plan.Reason)
		require.Empty(t, plan.Orders)
	}
}

// TestQuickToGiveSlowToTake checks that a shortage is answered at once, and a surplus only
// after the window, a few at a time.
func TestQuickToGiveSlowToTake(t *testing.T) {
	p := NewPlanner()
	there := map[Group]Count{{"a", Ordinary}: {Ready: 4}}
	require.NotEmpty(t, p.Plan(testInput(0, 60, there)).Orders)

	p = NewPlanner()
	there = map[Group]Count{{"a", Ordinary}: {Ready: 10}, {"b", Ordinary}: {Ready: 10}, {"c", Ordinary}: {Ready: 10}, {"d", Ordinary}: {Ready: 10}}
	window := windowStarts * simLimits.StartTime
	p.Plan(testInput(0, 10, there))
	require.Empty(t, p.Plan(testInput(window-time.Second, 10, there)).Orders)
	gone := 0
	for _, order := range p.Plan(testInput(window+time.Second, 10, there)).Orders {
		if order.Kind == Ordinary {
			gone += 10 - order.Count
		}
	}
	require.Positive(t, gone)
	require.LessOrEqual(t, gone, int(maxScaleDownShare*40))
}

// TestShortFailuresAreCarriedByTheHeadroom checks that lost endpoints of the headroom are
// replaced only after the time in which they may be back, and urgent ones at once.
func TestShortFailuresAreCarriedByTheHeadroom(t *testing.T) {
	there := func(ready int) map[Group]Count {
		return map[Group]Count{{"a", Ordinary}: {Ready: ready}, {"c", Ordinary}: {Ready: 5}}
	}
	p := NewPlanner()
	require.Empty(t, p.Plan(testInput(0, 36, there(10))).Orders)
	require.Empty(t, p.Plan(testInput(time.Second, 36, there(6))).Orders)
	require.Empty(t, p.Plan(testInput(2*time.Second, 36, there(10))).Orders)
	require.Empty(t, p.Plan(testInput(3*time.Second, 36, there(6))).Orders)
	require.NotEmpty(t, p.Plan(testInput(3*time.Second+simLimits.StartTime, 36, there(6))).Orders)
	p = NewPlanner()
	require.Empty(t, p.Plan(testInput(0, 36, there(10))).Orders)
	require.NotEmpty(t, p.Plan(testInput(time.Second, 36, there(4))).Orders)
}

// TestBusyDomainKeepsItsEndpoints checks that endpoints are taken away only where the rest
// has room for the work.
func TestBusyDomainKeepsItsEndpoints(t *testing.T) {
	p := NewPlanner()
	there := map[Group]Count{{"a", Ordinary}: {Ready: 10}, {"b", Ordinary}: {Ready: 10, Busy: 60}}
	p.Plan(testInput(0, 10, there))
	plan := p.Plan(testInput(time.Minute, 10, there))
	require.NotEmpty(t, plan.Orders)
	for _, order := range plan.Orders {
		require.NotEqual(t, Group{"b", Ordinary}, order.Group)
	}
}

// TestReclaimedAndMissingAreReplacedElsewhere checks that a group whose endpoints were
// reclaimed, or did not come, is replaced by another one.
func TestReclaimedAndMissingAreReplacedElsewhere(t *testing.T) {
	lost := Group{"a", Reclaimable}
	p := NewPlanner()
	there := map[Group]Count{{"b", Ordinary}: {Ready: 4}, {"c", Ordinary}: {Ready: 4}, lost: {Draining: 4}}
	p.Placed(Order{Group: lost, Count: 4}, testInput(0, 30, there))
	plan := p.Plan(testInput(time.Second, 30, there))
	require.NotEmpty(t, plan.Orders)
	require.Zero(t, plan.Targets[lost])

	p = NewPlanner()
	there = map[Group]Count{}
	orders := func(after time.Duration) map[Group]int {
		in := testInput(after, 30, there)
		counts := map[Group]int{}
		for _, order := range p.Plan(in).Orders {
			counts[order.Group] = order.Count
			p.Placed(order, in)
		}
		return counts
	}
	first := orders(0)
	require.NotEmpty(t, first)
	require.Empty(t, orders(simLimits.StartTime), "they are starting")
	require.Equal(t, first, orders(2*simLimits.StartTime), "the same orders are repeated once")
	require.Empty(t, orders(2*simLimits.StartTime+time.Second))
	late := orders(4 * simLimits.StartTime)
	for group := range first {
		require.Zero(t, late[group], "given up")
	}
}

// TestDueStepsNeedMoreThanTheAverage checks the need of steps that are due soon.
func TestDueStepsNeedMoreThanTheAverage(t *testing.T) {
	steps := []Step{{Work: 60 * time.Second, Items: 100, Due: testStart.Add(8 * time.Second)}, {Work: 60 * time.Second, Items: 100, Due: testStart.Add(12 * time.Second)}}
	require.InDelta(t, 20, slotsDue(steps, testStart), 1e-9)
	steps[0].Due = testStart
	require.InDelta(t, 100, slotsDue(steps, testStart), 1e-9, "no more slots than items")
	n := needOf([]Stream{{Steps: steps}, {}}, 6, 0, testStart)
	require.Equal(t, need{urgent: 17, wanted: 26, reason: ReasonDue}, n)
}

// BenchmarkPlan measures a decision for a service of 12,000 endpoints in 18 failure domains.
func BenchmarkPlan(b *testing.B) {
	limits := &route.Scaling{Min: 1, Max: 2000, StartTime: time.Minute, ReclaimablePrice: 0.3, DomainPrices: map[string]float64{}}
	there := map[Group]Count{}
	for i := range 18 {
		domain := string(rune('a' + i))
		limits.DomainPrices[domain] = 1 + float64(i)/100
		there[Group{domain, Ordinary}] = Count{Ready: 667}
	}
	p := NewPlanner()
	in := &Input{Now: testStart, Limits: limits, Slots: 6, There: there, Streams: []Stream{{Open: 24_000}}}
	b.ReportAllocs()
	for b.Loop() {
		in.Now = in.Now.Add(decideInterval)
		p.Plan(in)
	}
}
