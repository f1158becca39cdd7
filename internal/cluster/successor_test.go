package cluster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSuccessorTakesOver(t *testing.T) {
	f := newFakeNodes()
	for i := range 4 {
		f.start(t, fmt.Sprintf("n%d", i), 1).cluster.Want("u")
	}
	owner := f.waitOwner(t, "u")
	var successor Node
	for name, n := range f.nodes {
		require.Eventually(t, func() bool {
			known := false
			successor, known = n.cluster.Successor("u")
			return known && len(n.cluster.Nodes()) == 3
		}, testTimeout, pause, name)
		require.NotEqual(t, owner, successor.Name)
	}
	f.kill(owner)
	require.Equal(t, successor.Name, f.waitOwner(t, "u"))
}

func TestConfirmationAsksTheStore(t *testing.T) {
	f := newFakeNodes()
	f.start(t, "n0", 1).cluster.Want("u")
	f.waitOwner(t, "u")
	c := f.nodes["n0"].cluster
	unit, owned := c.Owned("u")
	require.True(t, owned)
	require.NoError(t, c.ConfirmUnit(t.Context(), unit))
	f.store.Write(unitPrefix+"u", []byte(`{"owner":"n1","incarnation":1}`))
	require.Error(t, c.ConfirmUnit(t.Context(), unit))
}
