package e2e

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/rollout"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
)

// requestRollout requests the rollout of a weight version as a trainer does, and retries until it
// is accepted.
func (env *environment) requestRollout(version, floor int64) {
	env.t.Helper()
	body, err := json.Marshal(rollout.Record{Model: model, Version: version, Floor: floor})
	require.NoError(env.t, err)
	c := newCaller(env, env.BalancerAddress())
	require.Eventually(env.t, func() bool {
		return c.send(http.MethodPost, rollout.Path, headers("training"), body, callTimeout).status == http.StatusOK
	}, waitLimit, 50*time.Millisecond, "version %d was not accepted", version)
}

// awaitVersion waits until a weight version is active on all engines.
func (env *environment) awaitVersion(version int64) {
	env.t.Helper()
	for _, endpoint := range env.Endpoints() {
		control := proctest.Control{Address: endpoint.Addresses[0]}
		var state engine.WeightState
		require.Eventually(env.t, func() bool {
			return control.Get(engine.PathWeights, &state) == nil && state.Active == version && !state.Broken
		}, waitLimit, 20*time.Millisecond, "%s did not activate version %d", endpoint.ID, version)
	}
}

// newRolloutEnvironment returns an environment with two engines that check fencing numbers and two
// that do not.
func newRolloutEnvironment(t *testing.T) *environment {
	t.Helper()
	env := newEnvironment(t, clusterSpec{entries: 3, engines: 2, engineArgs: []string{"--checks-fence", "--stage-time", "200ms", "--activate-time", "50ms"}})
	for i, id := range []string{"unfenced0", "unfenced1"} {
		_, err := env.StartEngine(id, failureDomain(i+2), model, "--version", "1", "--time-scale", "0.5", "--stage-time", "200ms", "--activate-time", "50ms")
		require.NoError(t, err)
	}
	return env
}

// TestSampleVersionsDuringRollouts checks guarantees 1 and 2 during rollouts in which weights change
// in mid-sample, an activation fails, an engine loses responses to its stage and activate requests,
// and an entry, which may be the one that sends these requests, is killed after each acceptance.
func TestSampleVersionsDuringRollouts(t *testing.T) {
	env := newRolloutEnvironment(t)
	l := &load{env: env, workers: 4, rounds: 40, attempts: 20, kinds: completionKinds}
	waitLoad := l.start()
	tr := newTrainer(env, "alpha", 1, 8, 8, 60)
	waitTrainer := env.runTrainers(tr)
	require.NoError(t, env.endpoint("engine0").Control().Put("/faults", standin.Fault{FailActivations: 1}))
	require.NoError(t, env.endpoint("unfenced1").Control().Put("/faults", standin.Fault{LoseReplies: 3}))
	for version := int64(2); version <= 4; version++ {
		l.awaitEnded(t, 30*(version-1))
		env.requestRollout(version, 0)
		tr.version.Store(version)
		victim := env.Entries()[0]
		victim.Kill()
		require.NoError(t, env.RemoveEntry(victim))
		env.startEntry()
		env.awaitVersion(version)
	}
	waitLoad()
	waitTrainer()
	l.checkAgainstJournals()
	changedSamples := 0
	for _, sample := range tr.samples {
		if len(sample.Spans) > 1 {
			changedSamples++
		}
	}
	t.Logf("the weights changed during %d of %d samples", changedSamples, len(tr.samples))
}

// TestNoAnswerBelowTheFloor checks the read-your-writes part of guarantee 4: once a weight version
// is accepted as the floor, no entry returns an answer of an older version, and once the engines
// have activated it, all entries answer.
func TestNoAnswerBelowTheFloor(t *testing.T) {
	env := newRolloutEnvironment(t)
	for version := int64(2); version <= 4; version++ {
		env.requestRollout(version, version)
		env.requireFloor(version)
		env.awaitVersion(version)
		require.Eventually(t, func() bool { return env.requireFloor(version) == len(env.Entries()) }, waitLimit, 100*time.Millisecond)
	}
}

// requireFloor sends a completion request to each entry concurrently, checks that no answer is
// older than the floor, and returns the number of entries that answered.
func (env *environment) requireFloor(floor int64) int {
	var answered atomic.Int64
	var requests sync.WaitGroup
	for _, entry := range env.Entries() {
		requests.Go(func() {
			got := newCaller(env, entry.CallerAddress()).complete(completionRequest{prompt: "tag of " + entry.ID, tokens: 8})
			if !got.complete {
				return
			}
			answered.Add(1)
			for _, span := range got.spans {
				assert.GreaterOrEqual(env.t, span.WeightVersion, floor, "%s answered with older weights", entry.ID)
			}
		})
	}
	requests.Wait()
	return int(answered.Load())
}
