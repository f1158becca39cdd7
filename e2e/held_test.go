package e2e

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLookupsWhileAServiceIsHeld: promise 4. A lookup, which may be repeated, is
// answered by another service when the one that it was sent to goes silent with
// its connections open. Its caller waits longer than its class allows, so even a
// late one must have an outcome.
func TestLookupsWhileAServiceIsHeld(t *testing.T) {
	w := newWorld(t, shape{entries: 3, services: 2})
	victim, err := w.StartServiceBehindLink("linked-service", domain(2), application, "--delay", "50ms")
	require.NoError(t, err)
	w.awaitUse(victim)
	l := &load{w: w, workers: 8, rounds: 15, attempts: 1, kinds: []kind{kindLookup}}
	wait := l.start()
	l.reach(t, 20)
	victim.Link.Stall()
	wait()
	l.checkTruth()
	for _, a := range l.asked {
		assert.NotContains(t, a.outcomes, outcomeLost, "no outcome: %s", a)
	}
	l.requireAllWhole()
}
