package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Sizes of the work in Training.
const (
	trainers   = 3
	groups     = 6
	groupSize  = 8
	stepCount  = 8
	trainTime  = 700 * time.Millisecond
	staleBound = 6 // versions behind the newest, of all trainers together
	// Slow neighbours: one engine at a time runs neighbourFactor times slower.
	neighbourSpan   = 1200 * time.Millisecond
	neighbourFactor = 4
)

// Training runs several trainers that ask for groups of samples one step ahead
// of the step that they train on, while weights change with each step and
// neighbours slow one engine after the other.
func Training(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	w, err := NewWorld(arm, hydrometraDelay, classes)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	wait.For(ctx, 3*pollInterval)
	noise, quiet := context.WithCancel(ctx)
	var neighbours sync.WaitGroup
	neighbours.Go(func() { w.neighbours(noise, newRandom(seed+1000)) })
	var all [trainers]trainer
	var running sync.WaitGroup
	for i := range all {
		all[i] = trainer{world: w, number: i, random: newRandom(seed*trainers + uint64(i))}
		running.Go(func() { all[i].run(ctx) })
	}
	running.Wait()
	quiet()
	neighbours.Wait()
	values := trainingValues(all[:])
	return append(values, Value{"sample_moves", "moves", float64(w.Moves.Load())}), nil
}

// neighbours slows one engine after the other.
func (w *World) neighbours(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		slow := w.Site.Engines[random.IntN(engineCount)]
		slow.SetFault(engine.Fault{SlowFactor: neighbourFactor})
		wait.For(ctx, neighbourSpan)
		slow.SetFault(engine.Fault{})
	}
}

// trainer trains on one step while the samples of the next are generated.
type trainer struct {
	world  *World
	number int
	random *rand.Rand

	idle, total time.Duration
	bound       time.Duration // the idle time that work and capacity set
	staleness   []float64
	overBound   int
	discarded   int
	samples     int
}

func (t *trainer) run(ctx context.Context) {
	started := time.Now()
	next := t.generate(ctx, 0)
	for step := range stepCount {
		waits := time.Now()
		s := <-next
		t.idle += time.Since(waits)
		t.take(s, step)
		if step+1 < stepCount {
			next = t.generate(ctx, step+1)
		}
		wait.For(ctx, trainTime)
		t.world.activate(t.world.Version.Add(1))
	}
	t.total = time.Since(started)
}

func (t *trainer) take(s *stepResult, step int) {
	t.staleness = append(t.staleness, s.staleness...)
	t.overBound += s.overBound
	t.discarded += s.discarded
	t.samples += groups * groupSize
	ahead := trainTime
	if step == 0 {
		ahead = 0
	}
	t.bound += max(leastTime(s.lengths)-ahead, 0)
}

// leastTime is the least time in which a step can be whole: its share of the
// capacity, and its longest sample alone on an engine.
func leastTime(lengths []int) time.Duration {
	sum, longest := 0, 0
	for _, n := range lengths {
		sum += n
		longest = max(longest, n)
	}
	healthy := (engineCount - 1 + 1.0/neighbourFactor) / engineCount
	work := time.Duration(float64(trainers*sum) / (healthy * capacity()) * float64(time.Second))
	return max(work, time.Duration(longest)*(stepBase+stepPerSequence))
}

// activate swaps the weights of all engines.
func (w *World) activate(version int64) {
	for _, e := range w.Site.Engines {
		activate(e, version)
	}
}

// stepResult is one step's samples, as the trainer got them.
type stepResult struct {
	mu        sync.Mutex
	lengths   []int
	staleness []float64
	overBound int
	discarded int
}

// generate asks for all samples of a step through the trainer's entry.
func (t *trainer) generate(ctx context.Context, step int) <-chan *stepResult {
	s := &stepResult{}
	var open sync.WaitGroup
	for g := range groups {
		for i := range groupSize {
			number := (step*groups+g)*groupSize + i
			tokens := heavyLength(t.random)
			s.lengths = append(s.lengths, tokens)
			text := prompt(1000*t.number+step*groups+g, number, tokens)
			open.Go(func() { t.sample(ctx, s, text) })
		}
	}
	done := make(chan *stepResult, 1)
	go func() {
		open.Wait()
		done <- s
	}()
	return done
}

// sample asks for one sample until one can be delivered.
func (t *trainer) sample(ctx context.Context, s *stepResult, text string) {
	e := t.world.Entries[t.number]
	fresh := func() int64 { return t.world.Version.Load() - staleBound }
	for ctx.Err() == nil {
		reply := t.world.ask(ctx, e, Ask{Class: classTraining, Prompt: text, MaxTokens: maxTokens, Patient: true, Fresh: fresh})
		if reply.Err != nil {
			s.discard()
			continue
		}
		s.deliver(reply.Answer.Spans, t.world.Version.Load())
		return
	}
}

func (s *stepResult) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarded++
}

func (s *stepResult) deliver(spans []protocol.Span, newest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := newest
	for _, span := range spans {
		oldest = min(oldest, span.WeightVersion)
	}
	s.staleness = append(s.staleness, float64(newest-oldest))
	if newest-oldest > staleBound {
		s.overBound++
	}
}

func trainingValues(all []trainer) []Value {
	var idle, total, bound time.Duration
	var staleness, overBound, discarded, samples float64
	for i := range all {
		t := &all[i]
		idle, total, bound = idle+t.idle, total+t.total, bound+t.bound
		for _, versions := range t.staleness {
			staleness += versions
		}
		overBound += float64(t.overBound)
		discarded += float64(t.discarded)
		samples += float64(t.samples)
	}
	busy := total - idle
	return []Value{
		{"trainer_idle", "share", idle.Seconds() / total.Seconds()},
		{"trainer_idle_bound", "share", bound.Seconds() / (busy + bound).Seconds()},
		{"staleness_mean", "versions", staleness / samples},
		{"staleness_over_bound", "samples", overBound},
		{"samples_discarded", "samples", discarded},
	}
}
