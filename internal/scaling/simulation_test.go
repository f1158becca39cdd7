package scaling

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/route"
)

// The played service: engines as large as those of a deployment with 38 of them in four
// failure domains, and four trainers.
const (
	simSlots    = 6
	simTick     = 100 * time.Millisecond
	simTrainers = 4
	simItems    = 88
	simWork     = 100 * time.Second // slot time of a step
	simLongest  = 2 * time.Second
	simInterval = 4 * time.Second
	simDue      = 7500 * time.Millisecond
	simNotice   = 2 * time.Second
)

var simLimits = &route.Scaling{
	Min: 1, Max: 20, StartTime: 4 * time.Second, ReclaimablePrice: 0.22,
	DomainPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1, "d": 1.1},
}

// simLoad is a played load with what happens to the endpoints.
type simLoad struct {
	seconds int
	// factor multiplies the work of the steps that begin at a time.
	factor func(second float64) float64
	// lose is the second in which a third of the endpoints is lost, and reclaim the one in
	// which the reclaimable ones of a failure domain are taken away; zero means never.
	lose, reclaim int
	// dry are the groups of which none are available.
	dry map[Group]bool
}

func steady(float64) float64 { return 1 }

var simLoads = map[string]simLoad{
	"steady":              {seconds: 80, factor: steady},
	"surge":               {seconds: 100, factor: func(s float64) float64 { return map[bool]float64{true: 3, false: 1}[s >= 40 && s < 60] }},
	"a third lost":        {seconds: 80, factor: steady, lose: 45},
	"reclaimed":           {seconds: 80, factor: steady, reclaim: 45},
	"no supply in domain": {seconds: 100, factor: func(s float64) float64 { return 1 + math.Floor(s/40) }, dry: map[Group]bool{{"a", Ordinary}: true, {"a", Reclaimable}: true}},
}

// simEndpoint is one endpoint with its time of life.
type simEndpoint struct {
	Group
	readyAt, leavesAt time.Time
}

// simStep is a step in play.
type simStep struct {
	began, due time.Time
	model      int
	work       time.Duration
	items      int
}

// simulation plays a load against a policy: work is a fluid that the slots of an endpoint
// take up, earliest due step first.
type simulation struct {
	load      simLoad
	now       time.Time
	endpoints []*simEndpoint
	steps     []*simStep
	whole     []time.Duration
	paid      float64
	orders    int
	refused   int
}

// simPolicy decides the orders.
type simPolicy interface {
	decide(in *Input) []Order
	placed(order Order, in *Input, ok bool)
}

// ours is the planner as a simPolicy.
type ours struct{ *Planner }

func (o ours) decide(in *Input) []Order { return o.Plan(in).Orders }
func (o ours) placed(order Order, in *Input, ok bool) {
	if !ok {
		o.Refused(order.Group, in)
		return
	}
	o.Placed(order, in)
}

// naive keeps the occupied fraction of the slots at a target, evenly in all failure domains.
type naive struct{}

const naiveTarget = 0.6

func (naive) decide(in *Input) []Order {
	busy, ready := 0, 0
	for _, count := range in.There {
		busy += count.Busy
		ready += count.Ready
	}
	domains := in.domains()
	each := int(math.Ceil(float64(busy) / simSlots / naiveTarget / float64(len(domains))))
	var orders []Order
	for _, domain := range domains {
		group := Group{domain, Ordinary}
		if count := min(max(each, in.Limits.Min), in.Limits.Max); count != in.There[group].Ready {
			orders = append(orders, Order{Group: group, Count: count})
		}
	}
	return orders
}
func (naive) placed(Order, *Input, bool) {}

// fixed never orders anything.
type fixed struct{ naive }

func (fixed) decide(*Input) []Order { return nil }

func play(policy simPolicy, load simLoad) *simulation {
	s := &simulation{load: load, now: time.Unix(1_800_000_000, 0)}
	began := s.now
	for i := range 38 {
		s.endpoints = append(s.endpoints, &simEndpoint{Group: Group{[]string{"a", "b", "c", "d"}[i%4], Ordinary}})
	}
	for tick := range load.seconds * int(time.Second/simTick) {
		s.now = began.Add(time.Duration(tick) * simTick)
		s.arrive(time.Duration(tick) * simTick)
		s.harm(tick)
		s.serve()
		if tick%5 == 0 {
			in := s.input()
			for _, order := range policy.decide(in) {
				policy.placed(order, in, s.order(order))
			}
		}
	}
	return s
}

// arrive begins the steps of the trainers, one after the other within an interval.
func (s *simulation) arrive(at time.Duration) {
	for model := range simTrainers {
		if (at-time.Duration(model)*simInterval/simTrainers)%simInterval == 0 && at >= time.Duration(model)*simInterval/simTrainers {
			factor := s.load.factor(at.Seconds())
			s.steps = append(s.steps, &simStep{began: s.now, due: s.now.Add(simDue), model: model, work: time.Duration(factor * float64(simWork)), items: int(factor * simItems)})
		}
	}
}

func (s *simulation) harm(tick int) {
	switch {
	case s.load.lose > 0 && tick == s.load.lose*10:
		s.endpoints = s.endpoints[:len(s.endpoints)-len(s.endpoints)/3]
	case s.load.reclaim > 0 && tick == s.load.reclaim*10:
		largest, in := Group{}, s.input()
		for group, count := range in.There {
			if group.Kind == Reclaimable && count.Ready > in.There[largest].Ready {
				largest = group
			}
		}
		for _, e := range s.endpoints {
			if e.Group == largest {
				e.leavesAt = s.now.Add(simNotice)
			}
		}
	}
}

func (e *simEndpoint) ready(now time.Time) bool { return !now.Before(e.readyAt) && e.leavesAt.IsZero() }

// serve lets the ready endpoints work for a tick, and counts what is paid.
func (s *simulation) serve() {
	slots := 0
	var kept []*simEndpoint
	for _, e := range s.endpoints {
		if !e.leavesAt.IsZero() && !s.now.Before(e.leavesAt) {
			continue
		}
		kept = append(kept, e)
		price := simLimits.DomainPrices[e.Domain]
		if e.Kind == Reclaimable {
			price *= simLimits.ReclaimablePrice
		}
		s.paid += price * simTick.Seconds()
		if e.ready(s.now) {
			slots += simSlots
		}
	}
	s.endpoints = kept
	var open []*simStep
	for _, step := range s.steps {
		used := min(slots, step.items)
		slots -= used
		step.work -= time.Duration(used) * simTick
		if step.work > 0 || s.now.Sub(step.began) < simLongest {
			open = append(open, step)
			continue
		}
		s.whole = append(s.whole, s.now.Sub(step.began))
	}
	s.steps = open
}

func (s *simulation) input() *Input {
	in := &Input{Now: s.now, Limits: simLimits, Home: "c", Slots: simSlots, There: map[Group]Count{}, Streams: make([]Stream, simTrainers)}
	busy, ready := 0, 0
	for i := range in.Streams {
		in.Streams[i] = Stream{Arriving: simWork.Seconds() / simInterval.Seconds(), Interval: simInterval}
	}
	for _, step := range s.steps {
		stream := &in.Streams[step.model]
		stream.Steps = append(stream.Steps, Step{Work: max(step.work, 0), Items: step.items, Due: step.due})
		if step.work > 0 {
			busy += step.items
		}
	}
	for _, e := range s.endpoints {
		count := in.There[e.Group]
		switch {
		case e.ready(s.now):
			count.Ready++
			ready++
		case !e.leavesAt.IsZero():
			count.Draining++
		}
		in.There[e.Group] = count
	}
	for group, count := range in.There {
		count.Busy = min(busy*count.Ready/max(ready, 1), simSlots*count.Ready)
		in.There[group] = count
	}
	return in
}

// order carries out an order as the platform would.
func (s *simulation) order(o Order) bool {
	s.orders++
	var present []*simEndpoint
	for _, e := range s.endpoints {
		if e.Group == o.Group && e.leavesAt.IsZero() {
			present = append(present, e)
		}
	}
	if o.Count > len(present) && s.load.dry[o.Group] {
		s.refused++
		return false
	}
	for range o.Count - len(present) {
		s.endpoints = append(s.endpoints, &simEndpoint{Group: o.Group, readyAt: s.now.Add(simLimits.StartTime)})
	}
	for i := o.Count; i < len(present); i++ {
		present[i].leavesAt = s.now.Add(time.Second)
	}
	return true
}

// figures returns the share of steps that were whole in time, open ones that are overdue
// included, and the mean time until a step was whole.
func (s *simulation) figures() (inTime float64, mean time.Duration) {
	late := 0
	for _, step := range s.steps {
		if s.now.After(step.due) {
			late++
		}
	}
	sum, good := time.Duration(0), 0
	for _, whole := range s.whole {
		sum += whole
		if whole <= simDue {
			good++
		}
	}
	return float64(good) / float64(len(s.whole)+late), sum / time.Duration(max(len(s.whole), 1))
}

// TestPlayedLoads compares the planner with a naive rule and with a fixed number of
// endpoints on played loads: steps must be whole in time at least as often as with the
// naive rule and on average within the part of the time that is aimed at, for less than is
// paid with either.
func TestPlayedLoads(t *testing.T) {
	for name, load := range simLoads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			planner, rule, all := play(ours{NewPlanner()}, load), play(naive{}, load), play(fixed{}, load)
			for _, s := range []struct {
				name string
				*simulation
			}{{"fixed", all}, {"naive", rule}, {"ours", planner}} {
				inTime, mean := s.figures()
				t.Logf("%-6s in time %.3f, whole after %.2f s, paid %.0f endpoint seconds, %d orders, %d refused, %d endpoints at the end",
					s.name, inTime, mean.Seconds(), s.paid, s.orders, s.refused, len(s.endpoints))
			}
			oursInTime, oursMean := planner.figures()
			naiveInTime, _ := rule.figures()
			require.GreaterOrEqual(t, oursInTime, naiveInTime)
			require.LessOrEqual(t, oursMean, time.Duration(aimShare*float64(simDue)))
			require.Less(t, planner.paid, all.paid)
			require.Less(t, planner.paid, rule.paid)
			require.Less(t, planner.orders, rule.orders)
		})
	}
}
