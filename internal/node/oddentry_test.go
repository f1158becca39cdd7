package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// TestOddEntriesAmongTheEndpointsNameNone guards against nodes that end, stop following the
// list of endpoints or send requests to nowhere because of an odd entry of another writer.
func TestOddEntriesAmongTheEndpointsNameNone(t *testing.T) {
	s := newSystem(t)
	odd := platformtest.OddEndpoints()
	for key, value := range odd {
		s.store.Write(key, value)
	}
	n := s.start("n1")
	known := n.node.directory.Len()
	require.Equal(t, len(s.engines)+1, known, "odd entries that are listed at the start")
	for key, value := range odd {
		s.store.Remove(key)
		s.store.Write(key, value)
	}
	s.store.Write(s.engines[0].Key(), platformtest.NestedRecord())
	second := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-1", Service: "app", Zone: "z"})
	t.Cleanup(second.Close)
	s.store.Write(second.Key(), second.Record("ready"))
	require.Eventually(t, func() bool { _, found := n.node.directory.Find("app-1"); return found }, waitLimit, pollInterval,
		"the list is followed")
	require.Equal(t, known, n.node.directory.Len(), "one came, and one entry was replaced by an odd one")
	for i := range 40 {
		status, _ := s.call(n, http.MethodPost, "/lookup/x", fmt.Sprint("r", i), nil)
		require.Equal(t, http.StatusOK, status)
	}
}
