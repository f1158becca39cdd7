package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stepDeadline bounds the steps of these tests; it is no promise.
const stepDeadline = 90 * time.Second

// runTrainers pulls steps in the background; the returned function waits and
// checks them against the engines' journals.
func (w *world) runTrainers(trainers ...*trainer) (wait func()) {
	var running sync.WaitGroup
	whole := make([]bool, len(trainers))
	for i, tr := range trainers {
		running.Go(func() { whole[i] = tr.run(time.Now().Add(stepDeadline)) })
	}
	return func() {
		w.t.Helper()
		running.Wait()
		truth := w.engineTruth()
		for i, tr := range trainers {
			assert.True(w.t, whole[i], "step of %s is not whole: %d of %d", tr.spec.Trainer, len(tr.samples), tr.total())
			assert.Empty(w.t, tr.checkTruth(truth), "step of %s", tr.spec.Trainer)
		}
	}
}

// generatedSoFar is the number of samples that engines have finished.
func (w *world) generatedSoFar() int {
	count := 0
	for _, records := range w.engineTruth() {
		count += begun(records)
	}
	return count
}

func (w *world) reachGenerated(count int) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.generatedSoFar() >= count }, patience, 10*time.Millisecond)
}

// TestStepsPulledThroughEntryKills: promises 1, 2 and 3 while all entries are
// killed and replaced one by one.
func TestStepsPulledThroughEntryKills(t *testing.T) {
	w := newWorld(t, shape{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}})
	wait := w.runTrainers(newTrainer(w, "alpha", 1, 8, 8, 40), newTrainer(w, "beta", 1, 8, 8, 40))
	for i, victim := range w.Entries() {
		w.reachGenerated(20 + 25*i)
		victim.Kill()
		require.NoError(t, w.RemoveEntry(victim))
		w.startEntry()
	}
	wait()
}

// TestStepsPulledThroughReplacement: promises 3 and 8 while entries are replaced
// one by one with SIGTERM.
func TestStepsPulledThroughReplacement(t *testing.T) {
	s := shape{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}}
	w := newWorld(t, s)
	wait := w.runTrainers(newTrainer(w, "alpha", 1, 8, 8, 40), newTrainer(w, "beta", 1, 8, 8, 40))
	for i, old := range w.Entries() {
		w.reachGenerated(20 + 20*i)
		w.replace(old, s)
	}
	wait()
}

// TestStepsPulledThroughPause: promise 3 when the owner of steps is paused past
// its lease and goes on.
func TestStepsPulledThroughPause(t *testing.T) {
	w := newWorld(t, shape{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}})
	var trainers []*trainer
	for i := range 6 {
		trainers = append(trainers, newTrainer(w, fmt.Sprintf("trainer%d", i), 1, 4, 4, 60))
	}
	wait := w.runTrainers(trainers...)
	w.reachGenerated(20)
	victim := w.Entries()[0]
	victim.Pause()
	resumed := time.AfterFunc(10*time.Second, victim.Resume)
	defer resumed.Stop()
	wait()
}

// TestStepsPulledThroughEndpointKills: promises 1 and 3 while engines die.
func TestStepsPulledThroughEndpointKills(t *testing.T) {
	w := newWorld(t, shape{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}})
	wait := w.runTrainers(newTrainer(w, "alpha", 1, 8, 8, 40))
	for i, id := range []string{"engine0", "engine2"} {
		w.reachGenerated(10 + 20*i)
		victim := w.endpoint(id)
		victim.Kill()
		_, err := w.RestartEndpoint(victim)
		require.NoError(t, err)
	}
	wait()
}
