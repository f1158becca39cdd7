package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

// cutSpec leaves out the one engine or service that each test starts behind a link.
var cutSpec = clusterSpec{entries: 3, engines: 2, services: 1}

// cutPhase changes the state of a link while a load runs. The rest of the load, including retries,
// runs in the new state.
type cutPhase struct {
	name  string
	apply func()
}

func cutPhases(link *proctest.Link) []cutPhase {
	return []cutPhase{{"stalled", link.Stall}, {"restored", link.Restore}, {"cut", link.Cut}, {"reconnected", link.Restore}}
}

// TestEngineCutOff checks guarantees 1, 3 and 4 while the instance list still shows an engine that
// no entry can reach: completions are answered and a step completes.
func TestEngineCutOff(t *testing.T) {
	env := newEnvironment(t, cutSpec)
	victim, err := env.StartEngineBehindLink("linked-engine", failureDomain(2), model, "--version", "1", "--time-scale", "0.5")
	require.NoError(t, err)
	env.awaitFirstRun(victim)
	waitStep := env.runTrainers(newTrainer(env, "alpha", 1, 8, 6, 40))
	for _, phase := range cutPhases(victim.Link) {
		l := &load{env: env, name: phase.name, workers: 8, rounds: 15, attempts: 1, kinds: completionKinds}
		wait := l.start()
		l.awaitEnded(t, 20)
		phase.apply()
		wait()
		l.checkAgainstJournals()
		l.requireAllComplete()
	}
	waitStep()
}

// TestServiceCutOff checks guarantees 4, 5 and 6 while the instance list still shows a service that
// no entry can reach: lookups are answered, and updates run at most once and are never refused as
// not run if they ran.
func TestServiceCutOff(t *testing.T) {
	env := newEnvironment(t, cutSpec)
	victim, err := env.StartServiceBehindLink("linked-service", failureDomain(2), application, "--delay", "50ms")
	require.NoError(t, err)
	env.awaitFirstRun(victim)
	for _, phase := range cutPhases(victim.Link) {
		l := &load{env: env, name: phase.name, workers: 8, rounds: 15, attempts: 20, timeout: 3 * time.Second, kinds: []kind{kindUpdate, kindLookup}}
		wait := l.start()
		l.awaitEnded(t, 20)
		phase.apply()
		wait()
		l.checkAgainstJournals()
		l.requireIdempotentComplete()
	}
	env.requireUpdatesAnswered()
}

// awaitFirstRun sends requests until an endpoint's journal shows that it ran one.
func (env *environment) awaitFirstRun(endpoint *proctest.Endpoint) {
	env.t.Helper()
	c := newCaller(env, env.BalancerAddress())
	calls := 0
	require.Eventually(env.t, func() bool {
		if endpoint.Kind == "engine" {
			c.complete(completionRequest{prompt: "use " + endpoint.ID, tokens: 1})
			return len(env.engineJournal(endpoint.Journal)) > 0
		}
		calls++
		c.update("/use", fmt.Sprintf("use-%d", calls), "x", callTimeout)
		return env.serviceRuns(endpoint) > 0
	}, waitLimit, 10*time.Millisecond, "%s receives no requests", endpoint.ID)
}
