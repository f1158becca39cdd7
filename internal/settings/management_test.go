package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMistakesOfTheManagementSettings(t *testing.T) {
	require.Empty(t, DefaultNode().managementMistakes())
	n := DefaultNode()
	n.ManagementAddress, n.HolderChange, n.ManagementRate, n.UsageWindow = "nowhere", 0, 0, -time.Second
	mistakes := n.managementMistakes()
	require.Len(t, mistakes, 4)
	for i, setting := range []string{"management-address", "holder-change", "management-rate", "usage-window"} {
		require.Contains(t, mistakes[i], setting)
	}
}
