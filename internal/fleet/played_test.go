package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/concurrency"
)

// Sizes of the played loads. A request takes playedWork alone on an endpoint of speed 1.
// playedTarget is what callers need, and playedRoom the share of what the endpoints can do
// that is asked for: at that load the target must be met.
const (
	playedWork   = 25 * time.Millisecond
	playedTarget = 8 * playedWork
	playedRoom   = 0.65
	playedTick   = time.Millisecond
	playedTime   = 40 * time.Second
	// playedPause and playedRefusals are the product's for refused requests.
	playedPause    = 25 * time.Millisecond
	playedRefusals = 6
	playedWarmUp   = 5 * time.Second
	// playedFind is the time in which a lasting change must be found, and playedReturn the
	// time in which an endpoint that is fast again gets work again.
	playedFind   = time.Second
	playedReturn = 8 * time.Second
	// playedShare is the time over which shares are counted.
	playedShare = 250 * time.Millisecond
	changeAt    = 15 * time.Second
	changeEnd   = 25 * time.Second
)

// server is an endpoint of a played load. Its requests share its capacity from the knee on.
type server struct {
	slots int
	// speed multiplies the time of each request; knee is the number of requests from which
	// they slow each other down.
	speed, knee float64
	// slow multiplies the time during disturbances or faults; nil means never.
	slow func(at time.Duration) float64
	// worst is the largest value of slow.
	worst float64
	lies  bool

	running, waiting []*played
}

// played is one request of a played load.
type played struct {
	arrived, sent time.Time
	left, total   float64
	caller, at    int
	inFlight      int64
	tried         []string
	refusals      int
	done          func()
}

// rule is a way to choose endpoints.
type rule int

const (
	fixedWeights rule = iota
	loadOnly
	learned
)

var ruleNames = map[rule]string{fixedWeights: "fixed weights", loadOnly: "load only", learned: "learned"}

// load is one case.
type load struct {
	servers []server
	callers int
	// rate is the number of requests a second; zero means playedRoom of what the servers can
	// do.
	rate float64
}

// figures are the results of a played load.
type figures struct {
	p50, p99       time.Duration
	refused, ended int
	late           int
	// found is the time after the first change until the changed endpoint got less than half
	// of its former share for good, and back the time until it got half of it again.
	found, back time.Duration
}

const lastingChange = "three times slower"

type player struct {
	rule    rule
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	servers []server
	views   [][]*Endpoint
	usual   []concurrency.UsualTimes
	times   []time.Duration
	// sent are the times at which requests were sent, and sentTo0 those to the first server.
	sent, sentTo0 []time.Duration
	// later are the requests that all servers refused.
	later []*played
	figures
}

func play(r rule, l load, seed uint64) figures {
	p := &player{rule: r, rng: rand.New(rand.NewPCG(seed, 3)), now: baseTime, start: baseTime, servers: slices.Clone(l.servers), usual: make([]concurrency.UsualTimes, l.callers)}
	rate := 0.0
	for i := range p.servers {
		s := &p.servers[i]
		rate += playedRoom * min(s.knee, float64(s.slots)) / (s.speed * max(s.worst, 1) * playedWork.Seconds())
	}
	if l.rate > 0 {
		rate = l.rate
	}
	for range l.callers {
		var view []*Endpoint
		for i, s := range p.servers {
			view = append(view, endpointOf(fmt.Sprint(i), s.slots))
		}
		p.views = append(p.views, view)
	}
	arrival := p.now
	for p.now.Sub(p.start) < playedTime {
		p.now = p.now.Add(playedTick)
		for ; arrival.Before(p.now); arrival = arrival.Add(time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))) {
			work := playedWork.Seconds() * math.Exp(0.3*p.rng.NormFloat64())
			p.send(&played{arrived: p.now, left: work, total: work, caller: p.rng.IntN(l.callers)})
		}
		for i := range p.servers {
			p.advance(i)
		}
		p.resend()
	}
	slices.Sort(p.times)
	p.p50, p.p99 = p.times[len(p.times)/2], p.times[len(p.times)*99/100]
	p.ended = len(p.times)
	before := p.share(changeAt - playedShare)
	p.found = p.until(changeAt, func(share float64) bool { return share < before/2 })
	p.back = p.until(changeEnd, func(share float64) bool { return share >= before/2 })
	return p.figures
}

// share returns the share of the first server in the requests of playedShare from at on.
func (p *player) share(at time.Duration) float64 {
	count := func(times []time.Duration) float64 {
		from, _ := slices.BinarySearch(times, at)
		to, _ := slices.BinarySearch(times, at+playedShare)
		return float64(to - from)
	}
	return count(p.sentTo0) / max(count(p.sent), 1)
}

// until returns the time from a change until the share of the first server fulfils a
// condition in the following playedShare.
func (p *player) until(change time.Duration, condition func(float64) bool) time.Duration {
	for d := time.Duration(0); change+d < playedTime; d += 50 * time.Millisecond {
		if condition(p.share(change + d)) {
			return d
		}
	}
	return playedTime
}

func (p *player) send(r *played) {
	view := p.views[r.caller]
	var e *Endpoint
	if p.rule == fixedWeights {
		e = view[p.rng.IntN(len(view))]
	} else {
		e, _ = Choose(view, Work{Zone: "z", Tried: r.tried, MayProbe: p.rule == learned}, p.now)
	}
	if e == nil {
		r.tried = nil
		p.later = append(p.later, r)
		return
	}
	for i := range p.servers {
		if view[i] == e {
			r.at = i
		}
	}
	p.sent = append(p.sent, p.now.Sub(p.start))
	if r.at == 0 {
		p.sentTo0 = append(p.sentTo0, p.now.Sub(p.start))
	}
	s := &p.servers[r.at]
	r.sent, r.inFlight = p.now, e.Live.TotalInFlight(p.now)+1
	if len(s.running)+len(s.waiting) >= 2*s.slots {
		r.tried = append(r.tried, e.ID)
		if r.refusals++; r.refusals > playedRefusals {
			p.refused++
			return
		}
		e.Live.MarkFull(p.now.Add(100 * time.Millisecond))
		if p.rule == learned {
			e.Live.Estimate.ObserveRefusal(float64(r.inFlight), p.now)
		}
		p.send(r)
		return
	}
	r.done = e.Live.Begin()
	s.waiting = append(s.waiting, r)
}

// resend sends the refused requests again, as callers' requests are in the product.
func (p *player) resend() {
	if p.now.Sub(p.start)%playedPause != 0 {
		return
	}
	later := p.later
	p.later = nil
	for _, r := range later {
		p.send(r)
	}
}

// advance plays one tick of a server.
func (p *player) advance(i int) {
	s := &p.servers[i]
	for len(s.running) < s.slots && len(s.waiting) > 0 {
		s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
	}
	progress := playedTick.Seconds() / (s.speed * max(float64(len(s.running))/s.knee, 1))
	if s.slow != nil {
		progress /= s.slow(p.now.Sub(p.start))
	}
	s.running = slices.DeleteFunc(s.running, func(r *played) bool {
		r.left -= progress
		if r.left > 0 {
			return false
		}
		p.end(i, r)
		return true
	})
}

func (p *player) end(i int, r *played) {
	e := p.views[r.caller][i]
	s := &p.servers[i]
	report := Load{Running: len(s.running), Waiting: len(s.waiting), Slots: s.slots}
	if s.lies {
		report = Load{Slots: s.slots, Percent: 100}
	}
	inFlight := float64(r.inFlight+e.Live.TotalInFlight(p.now)) / 2
	r.done()
	e.Live.Report(report, p.now)
	if multiple, known := p.usual[r.caller].Observe(concurrency.Kind{Service: "s"}, p.now.Sub(r.sent), p.now); known && p.rule == learned {
		e.Live.Estimate.Observe(multiple, inFlight, s.slots, p.now)
	}
	if p.now.Sub(p.start) > playedWarmUp {
		p.times = append(p.times, p.now.Sub(r.arrived))
		if p.now.Sub(r.arrived) > playedTarget {
			p.late++
		}
	}
}

func serversOf(n int, one server) []server { return slices.Repeat([]server{one}, n) }

// within returns a function that is factor during the given time and 1 outside of it.
func within(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

func disturbed(at time.Duration) float64 {
	if at%(3*time.Second) < 300*time.Millisecond {
		return 4
	}
	return 1
}

func playedLoads() map[string]load {
	plain := server{slots: 6, speed: 1, knee: 6}
	knee := server{slots: 24, speed: 1, knee: 8}
	change := serversOf(3, plain)
	change[0].slow, change[0].worst = within(changeAt, changeEnd, 3), 3
	disturbance := serversOf(3, plain)
	disturbance[0].slow, disturbance[0].worst = disturbed, 4
	liar := serversOf(3, knee)
	liar[0].lies = true
	fast, slow := plain, plain
	fast.speed, slow.speed = 0.7, 1.7
	unlike := serversOf(3, server{slots: 24, speed: 1, knee: 24})
	unlike[0].knee = 8
	return map[string]load{
		"equal":                  {servers: serversOf(3, plain), callers: 1},
		"speeds 0.7 0.7 1.7":     {servers: []server{slow, fast, fast}, callers: 1},
		"one with a knee at 1/3": {servers: unlike, callers: 1},
		"all with a knee at 1/3": {servers: serversOf(3, knee), callers: 1},
		"disturbances of 300 ms": {servers: disturbance, callers: 1},
		lastingChange:            {servers: change, callers: 1},
		"20 callers, knee":       {servers: unlike, callers: 20},
		"20 callers, change":     {servers: change, callers: 20},
		"60 callers, 12/s":       {servers: []server{slow, fast, fast}, callers: 60, rate: 12},
		"a false load report":    {servers: liar, callers: 4},
	}
}

// TestPlayedLoads checks that callers get their answers in time where the endpoints have
// room, whatever the endpoints are like. With -v it plays and logs the other rules as well.
func TestPlayedLoads(t *testing.T) {
	rules := []rule{learned}
	if testing.Verbose() {
		rules = []rule{fixedWeights, loadOnly, learned}
	}
	for name, l := range playedLoads() {
		t.Run(name, func(t *testing.T) {
			for _, r := range rules {
				for seed := range uint64(3) {
					f := play(r, l, seed)
					t.Logf("%-14s seed %d: p50 %v, p99 %v, late %d, refused %d of %d", ruleNames[r], seed, f.p50, f.p99, f.late, f.refused, f.ended)
					if name == lastingChange {
						t.Logf("%-14s found after %v, back after %v", "", f.found, f.back)
					}
					if r == learned {
						require.LessOrEqual(t, f.p99, playedTarget)
						require.Zero(t, f.refused)
						if name == lastingChange {
							require.LessOrEqual(t, f.found, playedFind)
							require.LessOrEqual(t, f.back, playedReturn)
						}
					}
				}
			}
		})
	}
}
