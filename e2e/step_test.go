package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stepDeadline bounds the steps of these tests; it is not a guarantee.
const stepDeadline = 90 * time.Second

// runTrainers runs trainers in the background. The returned function waits for them and checks
// their samples against the engines' journals.
func (env *environment) runTrainers(trainers ...*trainer) (wait func()) {
	var running sync.WaitGroup
	complete := make([]bool, len(trainers))
	for i, tr := range trainers {
		running.Go(func() { complete[i] = tr.run(time.Now().Add(stepDeadline)) })
	}
	return func() {
		env.t.Helper()
		running.Wait()
		records := env.engineRecords()
		for i, tr := range trainers {
			assert.True(env.t, complete[i], "step of %s is incomplete: %d of %d samples", tr.spec.Trainer, len(tr.samples), tr.total())
			assert.Empty(env.t, tr.checkAgainstJournals(records), "step of %s", tr.spec.Trainer)
		}
	}
}

// generationsBegun returns the number of generations that the engines have begun.
func (env *environment) generationsBegun() int {
	count := 0
	for _, records := range env.engineRecords() {
		count += countBegun(records)
	}
	return count
}

// awaitGenerations waits until the engines have begun at least count generations.
func (env *environment) awaitGenerations(count int) {
	env.t.Helper()
	require.Eventually(env.t, func() bool { return env.generationsBegun() >= count }, waitLimit, 10*time.Millisecond)
}

// TestStepsPulledThroughEntryKills checks guarantees 1, 2 and 3 while all entries are killed and
// replaced one by one.
func TestStepsPulledThroughEntryKills(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}})
	wait := env.runTrainers(newTrainer(env, "alpha", 1, 8, 8, 40), newTrainer(env, "beta", 1, 8, 8, 40))
	for i, victim := range env.Entries() {
		env.awaitGenerations(20 + 25*i)
		victim.Kill()
		require.NoError(t, env.RemoveEntry(victim))
		env.startEntry()
	}
	wait()
}

// TestStepsPulledThroughReplacement checks guarantees 3 and 8 while all entries are replaced one by
// one with SIGTERM.
func TestStepsPulledThroughReplacement(t *testing.T) {
	s := clusterSpec{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}}
	env := newEnvironment(t, s)
	wait := env.runTrainers(newTrainer(env, "alpha", 1, 8, 8, 40), newTrainer(env, "beta", 1, 8, 8, 40))
	for i, old := range env.Entries() {
		env.awaitGenerations(20 + 20*i)
		env.replaceEntry(old, s)
	}
	wait()
}

// TestStepsPulledThroughPause checks guarantee 3 if an entry that owns steps is paused past its
// lease and then resumed.
func TestStepsPulledThroughPause(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}})
	var trainers []*trainer
	for i := range 6 {
		trainers = append(trainers, newTrainer(env, fmt.Sprintf("trainer%d", i), 1, 4, 4, 60))
	}
	wait := env.runTrainers(trainers...)
	env.awaitGenerations(20)
	victim := env.Entries()[0]
	victim.Pause()
	resumed := time.AfterFunc(10*time.Second, victim.Resume)
	defer resumed.Stop()
	wait()
}

// TestStepsPulledThroughEndpointKills checks guarantees 1 and 3 while engines are killed and
// restarted.
func TestStepsPulledThroughEndpointKills(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3, engines: 4, engineArgs: []string{"--slots", "4"}})
	wait := env.runTrainers(newTrainer(env, "alpha", 1, 8, 8, 40))
	for i, id := range []string{"engine0", "engine2"} {
		env.awaitGenerations(10 + 20*i)
		victim := env.endpoint(id)
		victim.Kill()
		_, err := env.RestartEndpoint(victim)
		require.NoError(t, err)
	}
	wait()
}
