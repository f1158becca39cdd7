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

// rollOut has a version accepted, as a trainer does: it repeats the call while
// the outcome is open.
func (w *world) rollOut(version, floor int64) {
	w.t.Helper()
	body, err := json.Marshal(rollout.Record{Model: model, Version: version, Floor: floor})
	require.NoError(w.t, err)
	c := newCaller(w, w.BalancerAddress())
	require.Eventually(w.t, func() bool {
		return c.send(http.MethodPost, rollout.Path, headers("training"), body, callTimeout).status == http.StatusOK
	}, patience, 50*time.Millisecond, "version %d was not accepted", version)
}

// awaitVersion waits until all engines have a version active.
func (w *world) awaitVersion(version int64) {
	w.t.Helper()
	for _, endpoint := range w.Endpoints() {
		control := proctest.Control{Address: endpoint.Addresses[0]}
		var state engine.WeightState
		require.Eventually(w.t, func() bool {
			return control.Get(engine.PathWeights, &state) == nil && state.Active == version && !state.Broken
		}, patience, 20*time.Millisecond, "%s did not get version %d", endpoint.ID, version)
	}
}

// newRolloutWorld has engines of which some check fencing numbers.
func newRolloutWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, shape{entries: 3, engines: 2, engineArgs: []string{"--checks-fence", "--stage-time", "200ms", "--activate-time", "50ms"}})
	for i, id := range []string{"lax0", "lax1"} {
		_, err := w.StartEngine(id, domain(i+2), model, "--version", "1", "--time-scale", "0.5", "--stage-time", "200ms", "--activate-time", "50ms")
		require.NoError(t, err)
	}
	return w
}

// TestVersionsThroughRollouts: promises 1 and 2. Weights change in mid-sample,
// a swap fails partway, replies of orders are lost and the entries that give
// the orders are killed.
func TestVersionsThroughRollouts(t *testing.T) {
	w := newRolloutWorld(t)
	l := &load{w: w, workers: 4, rounds: 40, attempts: 20, kinds: answers}
	waitLoad := l.start()
	tr := newTrainer(w, "alpha", 1, 8, 8, 60)
	waitTrainer := w.runTrainers(tr)
	require.NoError(t, w.endpoint("engine0").Control().Put("/faults", standin.Fault{FailActivations: 1}))
	require.NoError(t, w.endpoint("lax1").Control().Put("/faults", standin.Fault{LoseReplies: 3}))
	for version := int64(2); version <= 4; version++ {
		l.reach(t, 30*(version-1))
		w.rollOut(version, 0)
		tr.version.Store(version)
		victim := w.Entries()[0]
		victim.Kill()
		require.NoError(t, w.RemoveEntry(victim))
		w.startEntry()
		w.awaitVersion(version)
	}
	waitLoad()
	waitTrainer()
	l.checkTruth()
	changed := 0
	for _, sample := range tr.samples {
		if len(sample.Spans) > 1 {
			changed++
		}
	}
	t.Logf("%d of %d samples saw weights change", changed, len(tr.samples))
}

// TestNoAnswerBelowTheFloor: promise 4, read-your-writes. Once a correction's
// version is accepted as the floor, no entry gives an answer of an older one;
// when the engines have it, all entries answer.
func TestNoAnswerBelowTheFloor(t *testing.T) {
	w := newRolloutWorld(t)
	for version := int64(2); version <= 4; version++ {
		w.rollOut(version, version)
		w.requireFloor(version)
		w.awaitVersion(version)
		require.Eventually(t, func() bool { return w.requireFloor(version) == len(w.Entries()) }, patience, 100*time.Millisecond)
	}
}

// requireFloor asks all entries at once and returns how many of them answered.
func (w *world) requireFloor(floor int64) int {
	var answered atomic.Int64
	var asking sync.WaitGroup
	for _, entry := range w.Entries() {
		asking.Go(func() {
			got := newCaller(w, entry.CallerAddress()).complete(question{prompt: "tag of " + entry.ID, tokens: 8})
			if !got.whole {
				return
			}
			answered.Add(1)
			for _, span := range got.spans {
				assert.GreaterOrEqual(w.t, span.WeightVersion, floor, "%s answered with older weights", entry.ID)
			}
		})
	}
	asking.Wait()
	return int(answered.Load())
}
