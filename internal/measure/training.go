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

// Parameters of the Training workload.
const (
	trainers     = 3
	groups       = 6
	groupSize    = 8
	stepCount    = 8
	trainTime    = 700 * time.Millisecond
	maxStaleness = 6 // in versions; all trainers advance the same version
	// Noisy neighbours slow one engine at a time by neighbourFactor for
	// neighbourSpan.
	neighbourSpan   = 1200 * time.Millisecond
	neighbourFactor = 4
)

// Training runs several trainers that request groups of samples one step ahead of the
// step that they train on. The weights change with each step, and noisy neighbours slow
// one engine after another.
func Training(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, longDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	wait.For(ctx, 3*pollInterval)
	noiseCtx, stopNoise := context.WithCancel(ctx)
	var neighbours sync.WaitGroup
	neighbours.Go(func() { t.slowNeighbours(noiseCtx, newRandom(seed+1000)) })
	var trainerStates [trainers]trainer
	var running sync.WaitGroup
	for i := range trainerStates {
		trainerStates[i] = trainer{testbed: t, number: i, random: newRandom(seed*trainers + uint64(i))}
		running.Go(func() { trainerStates[i].run(ctx) })
	}
	running.Wait()
	stopNoise()
	neighbours.Wait()
	values := trainingValues(trainerStates[:])
	return append(values, Value{"sample_moves", "moves", float64(t.Moves.Load())}), nil
}

// slowNeighbours slows one randomly chosen engine after another, until ctx ends.
func (t *Testbed) slowNeighbours(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		slow := t.Site.Engines[random.IntN(engineCount)]
		slow.SetFault(engine.Fault{SlowFactor: neighbourFactor})
		wait.For(ctx, neighbourSpan)
		slow.SetFault(engine.Fault{})
	}
}

// trainer simulates a trainer that trains on one step while the samples of the next are
// generated, and collects its figures.
type trainer struct {
	testbed *Testbed
	number  int
	random  *rand.Rand

	idle, total time.Duration
	idleBound   time.Duration // lower bound of the idle time, see minStepTime
	staleness   []float64
	overBound   int
	discarded   int
	samples     int
}

func (t *trainer) run(ctx context.Context) {
	started := time.Now()
	next := t.generate(ctx, 0)
	for step := range stepCount {
		waitStarted := time.Now()
		s := <-next
		t.idle += time.Since(waitStarted)
		t.record(s, step)
		if step+1 < stepCount {
			next = t.generate(ctx, step+1)
		}
		wait.For(ctx, trainTime)
		t.testbed.activate(t.testbed.Version.Add(1))
	}
	t.total = time.Since(started)
}

// record adds the results of a step to the figures.
func (t *trainer) record(s *stepResult, step int) {
	t.staleness = append(t.staleness, s.staleness...)
	t.overBound += s.overBound
	t.discarded += s.discarded
	t.samples += groups * groupSize
	overlap := trainTime
	if step == 0 {
		overlap = 0
	}
	t.idleBound += max(minStepTime(s.lengths)-overlap, 0)
}

// minStepTime returns a lower bound of the time to complete a step: the greater of its
// work divided by its fraction of the capacity, and its longest sample alone on an
// engine.
func minStepTime(lengths []int) time.Duration {
	sum, longest := 0, 0
	for _, n := range lengths {
		sum += n
		longest = max(longest, n)
	}
	healthy := (engineCount - 1 + 1.0/neighbourFactor) / engineCount
	work := time.Duration(float64(trainers*sum) / (healthy * capacity()) * float64(time.Second))
	return max(work, time.Duration(longest)*(stepBase+stepPerSequence))
}

// activate stages and activates a weight version on all engines.
func (t *Testbed) activate(version int64) {
	for _, e := range t.Site.Engines {
		activate(e, version)
	}
}

// stepResult describes the samples of one step as received by the trainer.
type stepResult struct {
	mu        sync.Mutex
	lengths   []int
	staleness []float64
	overBound int
	discarded int
}

// generate requests all samples of a step through the trainer's entry. The result is
// sent when all samples are complete.
func (t *trainer) generate(ctx context.Context, step int) <-chan *stepResult {
	s := &stepResult{}
	var pending sync.WaitGroup
	for g := range groups {
		for i := range groupSize {
			number := (step*groups+g)*groupSize + i
			tokens := sampleLength(t.random)
			s.lengths = append(s.lengths, tokens)
			text := prompt(1000*t.number+step*groups+g, number, tokens)
			pending.Go(func() { t.sample(ctx, s, text) })
		}
	}
	done := make(chan *stepResult, 1)
	go func() {
		pending.Wait()
		done <- s
	}()
	return done
}

// sample requests a sample, and retries until one is delivered or ctx ends.
func (t *trainer) sample(ctx context.Context, s *stepResult, text string) {
	e := t.testbed.Entries[t.number]
	minVersion := func() int64 { return t.testbed.Version.Load() - maxStaleness }
	for ctx.Err() == nil {
		reply := t.testbed.complete(ctx, e, Request{Class: classTraining, Prompt: text, MaxTokens: maxTokens, AllowLate: true, MinVersion: minVersion})
		if reply.Err != nil {
			s.discard()
			continue
		}
		s.deliver(reply.Answer.Spans, t.testbed.Version.Load())
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
	if newest-oldest > maxStaleness {
		s.overBound++
	}
}

func trainingValues(all []trainer) []Value {
	var idle, total, idleBound time.Duration
	var staleness, overBound, discarded, samples float64
	for i := range all {
		t := &all[i]
		idle, total, idleBound = idle+t.idle, total+t.total, idleBound+t.idleBound
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
		{"trainer_idle_bound", "share", idleBound.Seconds() / (busy + idleBound).Seconds()},
		{"staleness_mean", "versions", staleness / samples},
		{"staleness_over_bound", "samples", overBound},
		{"samples_discarded", "samples", discarded},
	}
}
