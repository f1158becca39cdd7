package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

// cutWorld has one engine and one service less than its tests need; they are
// started behind links.
var cutWorld = shape{entries: 3, engines: 2, services: 1}

// cutPhase is a change of a link in mid-load; the rest of the load and all
// that its callers repeat run through it.
type cutPhase struct {
	name string
	act  func()
}

func cutPhases(link *proctest.Link) []cutPhase {
	return []cutPhase{{"held", link.Stall}, {"restored", link.Restore}, {"cut", link.Cut}, {"again", link.Restore}}
}

// TestEngineCutOff: promises 1, 3 and 4. Completions and a step are answered
// while the list goes on showing an engine that no entry reaches.
func TestEngineCutOff(t *testing.T) {
	w := newWorld(t, cutWorld)
	victim, err := w.StartEngineBehindLink("linked-engine", domain(2), model, "--version", "1", "--time-scale", "0.5")
	require.NoError(t, err)
	w.awaitUse(victim)
	waitStep := w.runTrainers(newTrainer(w, "alpha", 1, 8, 6, 40))
	for _, phase := range cutPhases(victim.Link) {
		l := &load{w: w, name: phase.name, workers: 8, rounds: 15, attempts: 1, kinds: answers}
		wait := l.start()
		l.reach(t, 20)
		phase.act()
		wait()
		l.checkTruth()
		l.requireAllWhole()
	}
	waitStep()
}

// TestServiceCutOff: promises 4, 5 and 6. Lookups are answered, and updates run
// once at most and are never falsely refused as not run, while the list goes on
// showing a service that no entry reaches.
func TestServiceCutOff(t *testing.T) {
	w := newWorld(t, cutWorld)
	victim, err := w.StartServiceBehindLink("linked-service", domain(2), application, "--delay", "50ms")
	require.NoError(t, err)
	w.awaitUse(victim)
	for _, phase := range cutPhases(victim.Link) {
		l := &load{w: w, name: phase.name, workers: 8, rounds: 15, attempts: 20, timeout: 3 * time.Second, kinds: []kind{kindUpdate, kindLookup}}
		wait := l.start()
		l.reach(t, 20)
		phase.act()
		wait()
		l.checkTruth()
		l.requireRepeatableWhole()
	}
	w.requireUpdatesGoOn()
}

// awaitUse waits until an endpoint has truly run work of an entry.
func (w *world) awaitUse(endpoint *proctest.Endpoint) {
	w.t.Helper()
	c := newCaller(w, w.BalancerAddress())
	calls := 0
	require.Eventually(w.t, func() bool {
		if endpoint.Kind == "engine" {
			c.complete(question{prompt: "use " + endpoint.ID, tokens: 1})
			return len(w.engineJournal(endpoint.Journal)) > 0
		}
		calls++
		c.update("/use", fmt.Sprintf("use-%d", calls), "x", callTimeout)
		return w.serviceRuns(endpoint) > 0
	}, patience, 10*time.Millisecond, "%s gets no work", endpoint.ID)
}
