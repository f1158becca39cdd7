package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The played load: many accounts, a few of them large, want more than there is.
const (
	playAccounts = 87
	playSkew     = 1.2
	playSlots    = 90
	playRun      = 25 * time.Millisecond
	playTime     = 20 * time.Second
	playTick     = time.Millisecond
	playReport   = 20 * time.Millisecond
	playHold     = 250 * time.Millisecond
	playShortage = 0.3
	playSeed     = 1
	playSeeds    = 3
)

// rule is an order of waiting requests.
type rule interface {
	push(r *played)
	next(now time.Time) *played
	expire(now time.Time)
	waiting() int
}

type played struct {
	account, priority int
	arrived           time.Time
	wait              time.Duration
}

// plain serves in order of arrival.
type plain struct{ queue []*played }

func (p *plain) push(r *played) { p.queue = append(p.queue, r) }
func (p *plain) waiting() int   { return len(p.queue) }
func (p *plain) next(time.Time) *played {
	r := p.queue[0]
	p.queue = p.queue[1:]
	return r
}
func (p *plain) expire(now time.Time) {
	for len(p.queue) > 0 && now.Sub(p.queue[0].arrived) >= playHold {
		p.queue = p.queue[1:]
	}
}

// strict serves the most urgent first, and among equals in turn by account, which is what
// deficit round robin does with requests of equal cost.
type strict struct {
	byPriority bool
	queues     map[[2]int][]*played
	turns      [][2]int
	n          int
}

func (d *strict) waiting() int { return d.n }
func (d *strict) push(r *played) {
	key := [2]int{r.priority, r.account}
	if !d.byPriority {
		key[0] = 0
	}
	if len(d.queues[key]) == 0 {
		d.turns = append(d.turns, key)
	}
	d.queues[key] = append(d.queues[key], r)
	d.n++
}
func (d *strict) next(time.Time) *played {
	best := 0
	for i, key := range d.turns {
		if key[0] < d.turns[best][0] {
			best = i
		}
	}
	key := d.turns[best]
	d.turns = slices.Delete(d.turns, best, best+1)
	r := d.queues[key][0]
	d.queues[key] = d.queues[key][1:]
	d.n--
	if len(d.queues[key]) > 0 {
		d.turns = append(d.turns, key)
	}
	return r
}
func (d *strict) expire(now time.Time) {
	d.turns = slices.DeleteFunc(d.turns, func(key [2]int) bool {
		for len(d.queues[key]) > 0 && now.Sub(d.queues[key][0].arrived) >= playHold {
			d.queues[key] = d.queues[key][1:]
			d.n--
		}
		return len(d.queues[key]) == 0
	})
}

// instance is one node of the play.
type instance struct {
	rule     rule
	gate     *Gate
	open     []openRequest
	inFlight int
	free     float64
}

type openRequest struct {
	ticket  *Ticket
	request *played
}

// playResult is what accounts and priorities got.
type playResult struct {
	wanted, served [playAccounts]float64
	levelWanted    map[int]float64
	levelServed    map[int]float64
	waits          map[int][]time.Duration
	// atOnce and late count the refusals of a gate: before and after a wait.
	atOnce, late float64
	idle         float64 // slots left idle while something waited, as a fraction
}

func (p *playResult) overall() float64 { return sum(p.served[:]) / sum(p.wanted[:]) }

// worst is the lowest fraction served of an account, relative to that of all.
func (p *playResult) worst() float64 {
	worst := math.Inf(1)
	for a := range p.wanted {
		worst = min(worst, p.served[a]/max(p.wanted[a], 1)/p.overall())
	}
	return worst
}

// jain is Jain's index of what the accounts got, relative to equal shares of which none
// gets more than it wants.
func (p *playResult) jain() float64 {
	water := fairShare(p.wanted[:], sum(p.served[:]))
	s, q := 0.0, 0.0
	for a := range p.wanted {
		x := p.served[a] / min(p.wanted[a], water)
		s, q = s+x, q+x*x
	}
	return s * s / q / playAccounts
}

func fairShare(wanted []float64, total float64) float64 {
	low, high := 0.0, total
	for range 60 {
		middle, got := (low+high)/2, 0.0
		for _, w := range wanted {
			got += min(w, middle)
		}
		if got < total {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func (p *playResult) line(levels int) string {
	text := fmt.Sprintf("served %.3f worst/all %.2f jain %.3f idle %.3f refused at once %.3f, late %.3f |",
		p.overall(), p.worst(), p.jain(), p.idle, p.atOnce/sum(p.wanted[:]), p.late/sum(p.wanted[:]))
	for level := range levels {
		waits := p.waits[level]
		slices.Sort(waits)
		p99 := time.Duration(0)
		if len(waits) > 0 {
			p99 = waits[len(waits)*99/100]
		}
		text += fmt.Sprintf(" priority %d: %.3f, p99 wait %d ms;", level, p.levelServed[level]/p.levelWanted[level], p99.Milliseconds())
	}
	return text
}

// play plays the load on a number of instances; rules are nil for gates.
func play(seed uint64, instances, levels int, newRule func() rule) *playResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	result := &playResult{levelWanted: map[int]float64{}, levelServed: map[int]float64{}, waits: map[int][]time.Duration{}}
	var cumulative [playAccounts]float64
	total := 0.0
	for a := range cumulative {
		total += math.Pow(float64(a+1), -playSkew)
		cumulative[a] = total
	}
	nodes := make([]*instance, instances)
	for i := range nodes {
		nodes[i] = &instance{}
		if newRule != nil {
			nodes[i].rule = newRule()
		} else {
			nodes[i].gate = NewGate()
		}
	}
	start := time.Unix(1000, 0)
	perTick := playSlots / playRun.Seconds() / (1 - playShortage) * playTick.Seconds()
	type running struct {
		ends time.Time
		node *instance
	}
	var slots []running
	var queue []*instance
	reported, idle, ticks := 0, 0.0, 0.0
	begin := func(n *instance, r *played, now time.Time) {
		r.wait = now.Sub(r.arrived)
		result.served[r.account]++
		result.levelServed[r.priority]++
		result.waits[r.priority] = append(result.waits[r.priority], r.wait)
		n.inFlight++
		queue = append(queue, n)
	}
	for now := start; now.Before(start.Add(playTime)); now = now.Add(playTick) {
		slots = slices.DeleteFunc(slots, func(r running) bool {
			if r.ends.After(now) {
				return false
			}
			r.node.inFlight--
			r.node.free++
			if r.node.gate != nil {
				r.node.gate.Ended(now)
			}
			return true
		})
		if now.Sub(start)%playReport == 0 {
			for _, n := range nodes {
				others := max(reported-n.inFlight, 0)
				n.free = math.Floor(Pool{Slots: playSlots, InFlight: float64(others + n.inFlight), Own: float64(n.inFlight), Nodes: float64(instances)}.Free() + rng.Float64())
				if n.gate != nil {
					n.gate.SetFree(n.free, now)
				} else {
					n.rule.expire(now)
				}
			}
			reported = len(slots) + len(queue)
		}
		for arrivals := poisson(rng, perTick); arrivals > 0; arrivals-- {
			at := rng.Float64() * total
			r := &played{arrived: now}
			r.account, _ = slices.BinarySearch(cumulative[:], at)
			r.priority = r.account % levels
			result.wanted[r.account]++
			result.levelWanted[r.priority]++
			n := nodes[rng.IntN(instances)]
			if n.gate == nil {
				n.rule.push(r)
				continue
			}
			t, err := n.gate.Offer(Work{Account: fmt.Sprint(r.account), Priority: r.priority, Hold: playHold, Spread: rng.Float64()}, now)
			switch {
			case err != nil:
				result.atOnce++
			case t == nil:
				begin(n, r, now)
			default:
				n.open = append(n.open, openRequest{t, r})
			}
		}
		waiting := 0
		for _, n := range nodes {
			if n.gate == nil {
				for n.free >= 1 && n.rule.waiting() > 0 {
					n.free--
					begin(n, n.rule.next(now), now)
				}
				waiting += n.rule.waiting()
				continue
			}
			n.open = slices.DeleteFunc(n.open, func(o openRequest) bool {
				select {
				case err := <-o.ticket.Decision():
					if err == nil {
						begin(n, o.request, now)
					} else {
						result.late++
					}
					return true
				default:
					waiting++
					return false
				}
			})
		}
		for len(slots) < playSlots && len(queue) > 0 {
			slots = append(slots, running{ends: now.Add(time.Duration(rng.ExpFloat64() * float64(playRun))), node: queue[0]})
			queue = queue[1:]
		}
		idle += float64(min(playSlots-len(slots), waiting)) / playSlots
		ticks++
	}
	result.idle = idle / ticks
	return result
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

// quarter is the stated bound: no account is served less than a quarter as often as all.
const quarter = 0.25

// TestSharesUnderShortage plays a shortage beside the plain rule and two known ones.
func TestSharesUnderShortage(t *testing.T) {
	for _, instances := range []int{1, 6, 30} {
		for _, levels := range []int{1, 2, 4} {
			t.Run(fmt.Sprintf("instances=%d,priorities=%d", instances, levels), func(t *testing.T) {
				t.Parallel()
				rules := map[string]func() rule{
					"plain":               func() rule { return &plain{} },
					"round robin":         func() rule { return &strict{queues: map[[2]int][]*played{}} },
					"strict, round robin": func() rule { return &strict{byPriority: true, queues: map[[2]int][]*played{}} },
				}
				naive := map[string]*playResult{}
				for name, newRule := range rules {
					naive[name] = play(playSeed, instances, levels, newRule)
					t.Logf("%-20s %s", name, naive[name].line(levels))
				}
				var ours *playResult
				for seed := range uint64(playSeeds) {
					ours = play(playSeed+seed, instances, levels, nil)
					t.Logf("%-20s %s", "ours", ours.line(levels))
					require.GreaterOrEqual(t, ours.worst(), quarter)
					for level := 1; level < levels; level++ {
						more := ours.levelServed[level-1] / ours.levelWanted[level-1]
						less := ours.levelServed[level] / ours.levelWanted[level]
						require.GreaterOrEqual(t, more+0.05, less, "priority %d behind a less urgent one", level-1)
					}
				}
				require.Greater(t, ours.overall(), 0.95*naive["plain"].overall())
				if levels == 1 {
					require.Greater(t, ours.jain(), naive["plain"].jain())
				}
			})
		}
	}
}
