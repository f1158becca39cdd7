package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of a planner, as multiples of the time that an endpoint takes to start.
const (
	// windowStarts is the length of the stabilization window: the wanted number is the highest
	// of the window, so that endpoints are given quickly and taken away slowly.
	windowStarts = 3
	// windowIntervals is the same as a multiple of the time between the steps of a model.
	windowIntervals = 1.5
	// giveUpStarts is how long an ordered endpoint may take to appear.
	giveUpStarts = 3
	// repeatStarts is how long after an order it is repeated if endpoints are missing.
	repeatStarts = 1.5
	// refusalStarts is how long a refused group is not asked again.
	refusalStarts = 4
)

// Further parameters of a planner.
const (
	// minStart is the shortest time to start that is assumed.
	minStart = time.Second
	// maxWindow bounds the stabilization window.
	maxWindow = 10 * time.Minute
	// descentShare is the largest fraction of the endpoints that is taken away at once.
	descentShare = 0.2
	// tolerance is the fraction of the wanted endpoints by which what is there may differ
	// without a change.
	tolerance = 0.1
	// loadingWeight is the weight of the newest value in the average share of loading
	// endpoints.
	loadingWeight = 0.05
	// busyAfter is the largest fraction of a group's slots that may be occupied after
	// endpoints were taken away.
	busyAfter = 0.75
)

// sample is a need at a time.
type sample struct {
	at   time.Time
	need need
}

// ordered is the last order of a group: when it was made, and when its endpoints were last
// all there, at first the same.
type ordered struct {
	count     int
	at, metAt time.Time
}

// Planner decides the targets of one service. The caller must not use it concurrently. A
// planner that starts anew takes what is there for what was ordered.
type Planner struct {
	samples []sample
	// firstAt is when demand was first seen.
	firstAt  time.Time
	loading  float64
	orders   map[Group]ordered
	refused  map[Group]time.Time // until when
	lastDown time.Time
	// shortSince is since when fewer endpoints are ready than wanted; zero if there are enough.
	shortSince time.Time
}

// NewPlanner returns a planner that has decided nothing yet.
func NewPlanner() *Planner {
	return &Planner{orders: map[Group]ordered{}, refused: map[Group]time.Time{}}
}

// Plan is a decision.
type Plan struct {
	// Urgent and Wanted are the endpoints needed without and with headroom.
	Urgent, Wanted int
	Reason         Reason
	// Targets is the number wanted in each group in the end; Orders are the changes to make
	// now, those that add endpoints first.
	Targets map[Group]int
	Orders  []Order
	// GivenUp are the groups whose ordered endpoints did not come or were reclaimed.
	GivenUp []Group
}

// Plan decides on the basis of the input. Orders that the caller makes must be reported with
// Placed or Refused.
func (p *Planner) Plan(in *Input) Plan {
	givenUp := p.observe(in)
	n := p.stable(in)
	if n.reason == ReasonNone {
		return Plan{Reason: ReasonNone, Targets: map[Group]int{}, GivenUp: givenUp}
	}
	expected := func(group Group) int { return p.expected(in, group) }
	targets, replaced := newSpread(in, n, p.blocked(in), expected).run(n)
	total := 0
	for _, count := range targets {
		total += count
	}
	switch {
	case total != n.wanted:
		n.reason = ReasonBounds
	case replaced:
		n.reason = ReasonRefused
	}
	plan := Plan{Urgent: n.urgent, Wanted: total, Reason: n.reason, Targets: targets, GivenUp: givenUp}
	plan.Orders = append(p.ups(in, plan), p.downs(in, plan)...)
	return plan
}

// observe adds the present need to the window. It returns the groups that were given up.
func (p *Planner) observe(in *Input) []Group {
	loading, ready := 0, in.ready()
	for _, count := range in.There {
		loading += count.Loading
	}
	if ready > 0 {
		p.loading += loadingWeight * (float64(loading)/float64(ready) - p.loading)
	}
	now := needOf(in.Streams, in.Slots, p.loading, in.Now)
	if p.firstAt.IsZero() && now.reason != ReasonNone {
		p.firstAt = in.Now
	}
	start := in.Now.Add(-window(in))
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return s.at.Before(start) || s.need.wanted <= now.wanted })
	p.samples = append(p.samples, sample{in.Now, now})
	maps.DeleteFunc(p.refused, func(_ Group, until time.Time) bool { return !in.Now.Before(until) })
	return p.observeOrders(in)
}

// observeOrders compares what was ordered with what is there. A group whose endpoints do not
// appear, or were reclaimed, is not asked again for a while; such groups are returned.
func (p *Planner) observeOrders(in *Input) []Group {
	var givenUp []Group
	for _, group := range sortedGroups(p.orders) {
		order, count := p.orders[group], in.There[group]
		if count.Ready >= order.count {
			order.metAt = in.Now
			p.orders[group] = order
			continue
		}
		reclaimed := group.Kind == Reclaimable && count.Draining > 0
		if reclaimed || in.Now.Sub(order.metAt) > giveUpStarts*startTime(in) {
			p.Refused(group, in)
			givenUp = append(givenUp, group)
		}
	}
	for group, count := range in.There {
		if group.Kind == Reclaimable && count.Draining > 0 && count.Ready == 0 && p.orders[group].count == 0 && !p.wentByOrder(group) {
			p.Refused(group, in) // reclaimed before this planner began
		}
	}
	return givenUp
}

// wentByOrder reports whether the last order took all endpoints of a group away.
func (p *Planner) wentByOrder(group Group) bool {
	order, known := p.orders[group]
	return known && order.count == 0
}

func startTime(in *Input) time.Duration { return max(in.Limits.StartTime, minStart) }

// window returns the length of the stabilization window.
func window(in *Input) time.Duration {
	length := windowStarts * startTime(in)
	for _, s := range in.Streams {
		length = max(length, time.Duration(windowIntervals*float64(s.Interval)))
	}
	return min(length, maxWindow)
}

// stable returns the highest need of the window. The samples are in descending order.
func (p *Planner) stable(in *Input) need {
	n := p.samples[0].need
	if newest := p.samples[len(p.samples)-1].need; newest.wanted < n.wanted {
		n.reason = ReasonRecent
	}
	return n
}

// blocked returns the groups that were refused a short time ago.
func (p *Planner) blocked(in *Input) map[Group]bool {
	blocked := map[Group]bool{}
	for group, until := range p.refused {
		if in.Now.Before(until) {
			blocked[group] = true
		}
	}
	return blocked
}

// expected returns what a group is expected to have without a further order: what was
// ordered last, or what is there.
func (p *Planner) expected(in *Input, group Group) int {
	if order, known := p.orders[group]; known {
		return order.count
	}
	return in.There[group].Ready
}

// ups returns the orders that add endpoints, if those that are there or expected are not
// enough in number or in kind.
func (p *Planner) ups(in *Input, plan Plan) []Order {
	var orders []Order
	for _, group := range sortedGroups(plan.Targets) {
		count := min(plan.Targets[group], in.Limits.Max-p.most(in, group.other()))
		if count > p.most(in, group) || p.lost(in, group, count) {
			orders = append(orders, Order{group, count, plan.Reason})
		}
	}
	if p.short(in, plan) || p.worthwhile(in, plan) {
		return orders
	}
	return nil
}

// short reports whether endpoints are missing that must be replaced now: urgent ones at once,
// and those of the headroom after the time that they take to start. Endpoints that failed may
// be back by then.
func (p *Planner) short(in *Input, plan Plan) bool {
	present := 0
	for group, count := range in.There {
		present += min(count.Ready, p.expected(in, group))
	}
	if present >= plan.Urgent && float64(present) >= (1-tolerance)*float64(plan.Wanted) {
		p.shortSince = time.Time{}
		return false
	}
	if p.shortSince.IsZero() {
		p.shortSince = in.Now
	}
	return present < plan.Urgent || in.Now.Sub(p.shortSince) >= startTime(in)
}

// lost reports whether a group has fewer endpoints than ordered for longer than they take to
// start. The order is repeated, which is harmless if they are on their way.
func (p *Planner) lost(in *Input, group Group, count int) bool {
	order, known := p.orders[group]
	return known && count == order.count && count > 0 && in.There[group].Ready < count && in.Now.Sub(order.at) > time.Duration(repeatStarts*float64(startTime(in)))
}

// most returns the largest number of endpoints that a group may have now.
func (p *Planner) most(in *Input, group Group) int {
	return max(in.There[group].Ready, p.expected(in, group))
}

// worthwhile reports whether the plan replaces endpoints by cheaper ones: only if there is a
// surplus to be taken away anyhow, and after a whole window was seen.
func (p *Planner) worthwhile(in *Input, plan Plan) bool {
	return p.settled(in) && surplus(in, plan) > 0
}

// surplus returns how many ready endpoints exceed the plan; a small part counts as none.
func surplus(in *Input, plan Plan) int {
	over := in.ready() - plan.Wanted
	if float64(over) < max(tolerance*float64(plan.Wanted), 1) {
		return 0
	}
	return over
}

// settled reports whether the demand was observed for a whole window.
func (p *Planner) settled(in *Input) bool {
	return !p.firstAt.IsZero() && in.Now.Sub(p.firstAt) >= window(in)
}

// downs returns the orders that take endpoints away: after a whole window, a few at a time,
// and only while what is ready beyond the plan is more than a small surplus.
func (p *Planner) downs(in *Input, plan Plan) []Order {
	if !p.settled(in) || in.Now.Sub(p.lastDown) < startTime(in) {
		return nil
	}
	budget := min(surplus(in, plan), max(int(descentShare*float64(in.ready())), 1))
	var orders []Order
	groups := sortedGroups(in.There)
	slices.SortStableFunc(groups, func(a, b Group) int {
		return cmp.Compare(in.There[b].Ready-plan.Targets[b], in.There[a].Ready-plan.Targets[a])
	})
	for _, group := range groups {
		leave := max(plan.Targets[group], in.Limits.Min-in.There[group.other()].Ready)
		down := min(in.There[group].Ready-leave, budget, idle(in, group))
		if expected := p.expected(in, group); down <= 0 || expected > in.There[group].Ready {
			continue
		}
		orders = append(orders, Order{group, in.There[group].Ready - down, plan.Reason})
		budget -= down
	}
	return orders
}

// idle returns how many endpoints of a group may go without its work being pushed together
// too much. Which ones go is not for this system to say.
func idle(in *Input, group Group) int {
	count := in.There[group]
	keep := int(math.Ceil(float64(count.Busy) / (busyAfter * float64(max(in.Slots, 1)))))
	return count.Ready - keep
}

// Placed records that an order was made: it was confirmed, or may take effect.
func (p *Planner) Placed(order Order, in *Input) {
	if order.Count < in.There[order.Group].Ready {
		p.lastDown = in.Now
	}
	metAt := in.Now
	if last, known := p.orders[order.Group]; known && last.count == order.Count {
		metAt = last.metAt
	}
	p.orders[order.Group] = ordered{order.Count, in.Now, metAt}
}

// Refused records that the group has no more endpoints now, or did not bring those ordered.
func (p *Planner) Refused(group Group, in *Input) {
	p.refused[group] = in.Now.Add(refusalStarts * startTime(in))
	delete(p.orders, group)
}

// sortedGroups returns the keys of a map by group in a fixed order.
func sortedGroups[V any](byGroup map[Group]V) []Group {
	return slices.SortedFunc(maps.Keys(byGroup), func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Kind, b.Kind))
	})
}
