package e2e

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLookupsWhileServiceIsStalled checks guarantee 4: a lookup, which is idempotent, is answered
// by another service if the first one stops responding but keeps its connections open. The callers
// wait longer than the lateness of the class, so every lookup must end with an outcome.
func TestLookupsWhileServiceIsStalled(t *testing.T) {
	env := newEnvironment(t, clusterSpec{entries: 3, services: 2})
	victim, err := env.StartServiceBehindLink("linked-service", failureDomain(2), application, "--delay", "50ms")
	require.NoError(t, err)
	env.awaitFirstRun(victim)
	l := &load{env: env, workers: 8, rounds: 15, attempts: 1, kinds: []kind{kindLookup}}
	wait := l.start()
	l.awaitEnded(t, 20)
	victim.Link.Stall()
	wait()
	l.checkAgainstJournals()
	for _, r := range l.requests {
		assert.NotContains(t, r.outcomes, outcomeLost, "no outcome: %s", r)
	}
	l.requireAllComplete()
}
