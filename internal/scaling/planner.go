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
	// of the window, so that scaling up is fast and scaling down is slow.
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
	// maxScaleDownShare is the largest fraction of the endpoints that is removed at once.
	maxScaleDownShare = 0.2
	// tolerance is the fraction of the wanted endpoints by which what is there may differ
	// without a change.
	tolerance = 0.1
	// loadingWeight is the weight of the newest value in the average share of loading
	// endpoints.
	loadingWeight = 0.05
	// maxUtilizationAfter is the largest fraction of a group's slots that may be occupied after
	// scaling down.
	maxUtilizationAfter = 0.75
)

// sample is the need that was observed at a point in time.
type sample struct {
	at   time.Time
	need need
}

// ordered is the last order of a group: when it was made, and when all its endpoints were last
// ready (at first the time of the order).
type ordered struct {
	count           int
	at, fulfilledAt time.Time
}

// Planner decides the targets of one service. The caller must not use it concurrently. A
// new planner assumes that the present endpoints are those that were ordered.
type Planner struct {
	samples []sample
	// firstAt is when demand was first seen.
	firstAt time.Time
	// loading is the moving average of the fraction of ready endpoints that load weights.
	loading       float64
	orders        map[Group]ordered
	refused       map[Group]time.Time // when each refusal expires
	lastScaleDown time.Time
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
	n := p.stabilized(in)
	if n.reason == ReasonNone {
		return Plan{Reason: ReasonNone, Targets: map[Group]int{}, GivenUp: givenUp}
	}
	present := func(group Group) int { return p.presentOrOrdered(in, group) }
	targets, replaced := newSpread(in, n, p.blocked(in), present).run(n)
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
	plan.Orders = append(p.scaleUpOrders(in, plan), p.scaleDownOrders(in, plan)...)
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
	start := in.Now.Add(-stabilizationWindow(in))
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
			order.fulfilledAt = in.Now
			p.orders[group] = order
			continue
		}
		reclaimed := group.Kind == Reclaimable && count.Draining > 0
		if reclaimed || in.Now.Sub(order.fulfilledAt) > giveUpStarts*startTime(in) {
			p.Refused(group, in)
			givenUp = append(givenUp, group)
		}
	}
	for group, count := range in.There {
		if group.Kind == Reclaimable && count.Draining > 0 && count.Ready == 0 && p.orders[group].count == 0 && !p.emptiedByOrder(group) {
			p.Refused(group, in) // reclaimed before this planner began
		}
	}
	return givenUp
}

// emptiedByOrder reports whether the last order was to remove all endpoints of a group.
func (p *Planner) emptiedByOrder(group Group) bool {
	order, known := p.orders[group]
	return known && order.count == 0
}

// startTime returns the time that an endpoint takes to start.
func startTime(in *Input) time.Duration { return max(in.Limits.StartTime, minStart) }

// stabilizationWindow returns the length of the stabilization window.
func stabilizationWindow(in *Input) time.Duration {
	length := windowStarts * startTime(in)
	for _, s := range in.Streams {
		length = max(length, time.Duration(windowIntervals*float64(s.Interval)))
	}
	return min(length, maxWindow)
}

// stabilized returns the highest need of the window. The samples are in descending order.
func (p *Planner) stabilized(in *Input) need {
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

// scaleUpOrders returns the orders that add endpoints, if those that are there or expected are
// not enough in number or in kind.
func (p *Planner) scaleUpOrders(in *Input, plan Plan) []Order {
	var orders []Order
	for _, group := range sortedGroups(plan.Targets) {
		count := min(plan.Targets[group], in.Limits.Max-p.presentOrOrdered(in, group.other()))
		if count > p.presentOrOrdered(in, group) || p.mustRepeat(in, group, count) {
			orders = append(orders, Order{group, count, plan.Reason})
		}
	}
	if p.shortage(in, plan) || p.mayReplace(in, plan) {
		return orders
	}
	return nil
}

// shortage reports whether endpoints are missing that must be replaced now: urgent ones at
// once, and those of the headroom only after the time that an endpoint takes to start, since
// endpoints that failed may have recovered by then.
func (p *Planner) shortage(in *Input, plan Plan) bool {
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

// mustRepeat reports whether a group has had fewer endpoints than ordered for too long since
// the order. Orders are absolute counts, so repeating one is idempotent.
func (p *Planner) mustRepeat(in *Input, group Group, count int) bool {
	order, known := p.orders[group]
	return known && count == order.count && count > 0 && in.There[group].Ready < count && in.Now.Sub(order.at) > time.Duration(repeatStarts*float64(startTime(in)))
}

// presentOrOrdered returns the largest number of endpoints that a group may have without a
// further order.
func (p *Planner) presentOrOrdered(in *Input, group Group) int {
	return max(in.There[group].Ready, p.expected(in, group))
}

// mayReplace reports whether endpoints may be replaced by cheaper ones: only if there is a
// surplus to remove anyway, and after a whole stabilization window.
func (p *Planner) mayReplace(in *Input, plan Plan) bool {
	return p.windowElapsed(in) && surplus(in, plan) > 0
}

// surplus returns by how many the ready endpoints exceed the plan; zero within the tolerance.
func surplus(in *Input, plan Plan) int {
	over := in.ready() - plan.Wanted
	if float64(over) < max(tolerance*float64(plan.Wanted), 1) {
		return 0
	}
	return over
}

// windowElapsed reports whether the demand was observed for a whole window.
func (p *Planner) windowElapsed(in *Input) bool {
	return !p.firstAt.IsZero() && in.Now.Sub(p.firstAt) >= stabilizationWindow(in)
}

// scaleDownOrders returns the orders that remove endpoints: after a whole stabilization window,
// a few at a time, and only while the surplus exceeds the tolerance.
func (p *Planner) scaleDownOrders(in *Input, plan Plan) []Order {
	if !p.windowElapsed(in) || in.Now.Sub(p.lastScaleDown) < startTime(in) {
		return nil
	}
	budget := min(surplus(in, plan), max(int(maxScaleDownShare*float64(in.ready())), 1))
	var orders []Order
	groups := sortedGroups(in.There)
	slices.SortStableFunc(groups, func(a, b Group) int {
		return cmp.Compare(in.There[b].Ready-plan.Targets[b], in.There[a].Ready-plan.Targets[a])
	})
	for _, group := range groups {
		leave := max(plan.Targets[group], in.Limits.Min-in.There[group.other()].Ready)
		down := min(in.There[group].Ready-leave, budget, removable(in, group))
		if expected := p.expected(in, group); down <= 0 || expected > in.There[group].Ready {
			continue
		}
		orders = append(orders, Order{group, in.There[group].Ready - down, plan.Reason})
		budget -= down
	}
	return orders
}

// removable returns how many endpoints of a group may be removed without the utilization of
// the others exceeding maxUtilizationAfter. An order gives only a count, so which ones are
// removed is not known.
func removable(in *Input, group Group) int {
	count := in.There[group]
	keep := int(math.Ceil(float64(count.Busy) / (maxUtilizationAfter * float64(max(in.Slots, 1)))))
	return count.Ready - keep
}

// Placed records that an order was made: it was confirmed, or may take effect.
func (p *Planner) Placed(order Order, in *Input) {
	if order.Count < in.There[order.Group].Ready {
		p.lastScaleDown = in.Now
	}
	fulfilledAt := in.Now
	if last, known := p.orders[order.Group]; known && last.count == order.Count {
		fulfilledAt = last.fulfilledAt
	}
	p.orders[order.Group] = ordered{order.Count, in.Now, fulfilledAt}
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
