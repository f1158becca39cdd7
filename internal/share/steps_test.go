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

// The played steps: trainers of many accounts, a few of which have many, ask for a step each
// period; the engines can run only a part of them in time.
const (
	stepSlots  = 26
	stepItems  = 24
	stepTokens = 10 // an item takes as many ticks of a slot
	stepPeriod = 400
	stepTicks  = 4000
	stepDue    = 300
	// stepLeast is how long the longest of a step's items usually takes.
	stepLeast = 350 * time.Millisecond
)

// playedStep is a step of the play; its items wait or run.
type playedStep struct {
	Step
	waiting, open int
	arrived       int
}

// stepResult counts the steps that were asked for, and whole in time, by account and
// priority.
type stepResult struct {
	asked, whole, items map[int]float64 // by account
	levelAsked          map[int]float64
	levelWhole          map[int]float64
}

func (r *stepResult) line() string {
	text := fmt.Sprintf("whole in time %.3f", r.total(r.whole)/r.total(r.asked))
	for level := range len(r.levelAsked) {
		text += fmt.Sprintf(", priority %d: %.3f", level, r.levelWhole[level]/r.levelAsked[level])
	}
	return text
}

func (r *stepResult) total(m map[int]float64) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return sum
}

// playSteps plays the load. order sorts the steps that lack items. A step that is not whole
// in time is given up by its trainer.
func playSteps(seed uint64, levels int, order func([]Step, time.Time), started func(string)) *stepResult {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := &stepResult{asked: map[int]float64{}, whole: map[int]float64{}, items: map[int]float64{}, levelAsked: map[int]float64{}, levelWhole: map[int]float64{}}
	at := func(tick int) time.Time { return testStart.Add(time.Duration(tick) * 10 * time.Millisecond) }
	steps := map[string]*playedStep{}
	var ends [stepSlots]int // tick at which the slot is free
	var runs [stepSlots]*playedStep
	accountOf := func(trainer int) int { return int(float64(12) * math.Pow(float64(trainer)/playTrainers, 2)) }
	for tick := range stepTicks {
		for trainer := range playTrainers {
			if (tick+trainer*stepPeriod/playTrainers)%stepPeriod == 0 {
				account := accountOf(trainer)
				s := &playedStep{waiting: stepItems, arrived: tick, Step: Step{
					ID: fmt.Sprintf("%03d-%05d", trainer, tick), Account: fmt.Sprint(account), Priority: account % levels,
					Accepted: at(tick), Due: at(tick + stepDue), Tokens: stepItems * stepTokens, Least: stepLeast,
				}}
				steps[s.ID] = s
				r.asked[account]++
				r.levelAsked[s.Priority]++
			}
		}
		for i := range ends {
			if s := runs[i]; s != nil && ends[i] <= tick {
				runs[i] = nil
				s.open--
				if s.open == 0 && s.waiting == 0 && steps[s.ID] != nil {
					var account int
					_, _ = fmt.Sscan(s.Account, &account)
					r.whole[account]++
					r.levelWhole[s.Priority]++
					delete(steps, s.ID)
				}
			}
		}
		var list []Step
		for id, s := range steps {
			if tick-s.arrived >= stepDue {
				delete(steps, id)
				continue
			}
			list = append(list, s.Step)
		}
		order(list, at(tick))
		for i := range ends {
			next := slices.IndexFunc(list, func(s Step) bool { return steps[s.ID].waiting > 0 })
			if runs[i] != nil || next < 0 {
				continue
			}
			s := steps[list[next].ID]
			s.waiting--
			s.open++
			started(s.ID)
			runs[i], ends[i] = s, tick+1+int(rng.ExpFloat64()*stepTokens)
		}
	}
	return r
}

const playTrainers = 60

// TestStepsAreKeptWhole plays a shortage of engines beside the order by age and turns by
// item.
func TestStepsAreKeptWhole(t *testing.T) {
	for _, levels := range []int{1, 2} {
		var ours Steps
		plain := playSteps(playSeed, levels, func(steps []Step, _ time.Time) {
			slices.SortFunc(steps, func(a, b Step) int { return a.Accepted.Compare(b.Accepted) })
		}, func(string) {})
		turn := rand.New(rand.NewPCG(3, 3))
		turns := playSteps(playSeed, levels, func(steps []Step, _ time.Time) {
			slices.SortFunc(steps, func(a, b Step) int { return a.Accepted.Compare(b.Accepted) })
			turn.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
		}, func(string) {})
		result := playSteps(playSeed, levels, ours.Order, ours.Started)
		t.Logf("%d priorities: by age %s; by turns %s; ours %s", levels, plain.line(), turns.line(), result.line())
		all := result.total(result.whole) / result.total(result.asked)
		require.Greater(t, all, plain.total(plain.whole)/plain.total(plain.asked))
		require.Greater(t, all, turns.total(turns.whole)/turns.total(turns.asked))
		for account, asked := range result.asked {
			require.GreaterOrEqual(t, result.whole[account]/asked, quarter*all, "account %d of %v", account, result.asked)
		}
	}
}

// TestOneAccountIsOrderedByAge checks that nothing changes among the steps of one account.
func TestOneAccountIsOrderedByAge(t *testing.T) {
	var o Steps
	var steps []Step
	for i := range 20 {
		steps = append(steps, Step{ID: fmt.Sprint((i * 7) % 20), Accepted: testStart.Add(time.Duration((i*7)%20) * time.Second), Tokens: float64(1 + i)})
	}
	for range 3 {
		o.Order(steps, testStart)
		require.True(t, slices.IsSortedFunc(steps, func(a, b Step) int { return a.Accepted.Compare(b.Accepted) }))
	}
}

// TestFeasible checks that a burst of items is no shortage while all steps can be whole in
// time, and that a late step takes room from the others but is no shortage by itself.
func TestFeasible(t *testing.T) {
	const gap = 100 * time.Millisecond
	step := func(due time.Duration, tokens float64) Step {
		return Step{Due: testStart.Add(due), Tokens: tokens, Least: time.Second}
	}
	require.True(t, Feasible(nil, 10, gap, testStart))
	require.True(t, Feasible([]Step{step(4*time.Second, 400)}, 10, gap, testStart), "4 s of work for 4 s")
	require.False(t, Feasible([]Step{step(4*time.Second, 401)}, 10, gap, testStart))
	require.True(t, Feasible([]Step{step(8*time.Second, 400), step(4*time.Second, 400)}, 10, gap, testStart))
	require.False(t, Feasible([]Step{step(8*time.Second, 401), step(4*time.Second, 400)}, 10, gap, testStart))
	require.False(t, Feasible([]Step{{Tokens: 1}}, 10, gap, testStart))
	late := step(time.Second/2, 100)
	require.True(t, Feasible([]Step{late}, 10, gap, testStart))
	require.True(t, Feasible([]Step{late, step(4*time.Second, 300)}, 10, gap, testStart))
	require.False(t, Feasible([]Step{late, step(4*time.Second, 301)}, 10, gap, testStart))
}

// TestRefundOfAnOldCharge checks that a step that misses its due time takes back no more than
// the tallies still hold of it, and that it is charged again if it recovers.
func TestRefundOfAnOldCharge(t *testing.T) {
	var o Steps
	step := Step{ID: "a", Account: "x", Due: testStart.Add(time.Hour), Tokens: 100, Least: time.Minute}
	o.Order([]Step{step}, testStart)
	o.Started("a")
	require.InDelta(t, 100, o.all.got, 1e-9)
	later := testStart.Add(halvingPeriod)
	slow := step
	slow.Least = 2 * time.Hour
	o.Order([]Step{slow}, later)
	require.Zero(t, o.all.got)
	o.Started("a")
	require.Zero(t, o.all.got, "a step that is late is not charged")
	o.Order([]Step{step}, later)
	o.Started("a")
	require.InDelta(t, 100, o.all.got, 1e-9)
}
