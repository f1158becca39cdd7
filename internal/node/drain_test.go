package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestEndpointThatSaysItLeavesGetsNoNewWork guards against requests, scoring calls and items
// for an endpoint that said in an answer that it is leaving, while its record shows it as
// ready and while the store is down.
func TestEndpointThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	s := newSystem(t)
	second := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-1", Service: "app", Zone: "z"})
	t.Cleanup(second.Close)
	s.store.Write(second.Key(), second.Record("ready"))
	n := s.start("n1")
	n.awaitEndpoint(t, "app-1")
	s.owner()
	s.submit(n, "before", 24)
	s.requireComplete(s.results(n, "before", 24), "before", 24)

	engine := s.engines[0]
	s.plain.Leave()
	engine.Leave()
	leaves := func(id string) bool {
		e, found := n.node.directory.Find(id)
		return found && e.Leaving()
	}
	request := 0
	lookup := func() {
		request++
		status, _ := s.call(n, http.MethodPost, "/lookup/x", fmt.Sprint("r", request), nil)
		require.Equal(t, http.StatusOK, status)
	}
	require.Eventually(t, func() bool { lookup(); return leaves("app-0") }, waitLimit, pollInterval)
	submission := 0
	submit := func() {
		submission++
		id := fmt.Sprint("step-", submission)
		s.submit(n, id, 24)
		s.requireComplete(s.results(n, id, 24), id, 24)
	}
	require.Eventually(t, func() bool { submit(); return leaves("lm-0") }, waitLimit, pollInterval)

	plainRuns, engineRuns := s.plain.AllRuns(), engine.AllRuns()
	s.store.Write(s.plain.Key(), s.plain.Record("ready"))
	submit()
	s.store.SetFaults(memory.Faults{Down: true})
	for range 40 {
		lookup()
	}
	s.store.SetFaults(memory.Faults{})
	submit()
	require.Equal(t, plainRuns, s.plain.AllRuns(), "requests and scoring calls")
	require.Equal(t, engineRuns, engine.AllRuns(), "items")
}
