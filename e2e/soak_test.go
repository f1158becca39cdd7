package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/soak"
)

// TestSoak runs a short soak with random faults of all kinds: no guarantee to callers or trainers
// is violated, and steps complete. `make soak` runs longer.
func TestSoak(t *testing.T) {
	t.Parallel()
	report, err := soak.Run(context.Background(), soak.Options{Binary: binaries.Entry, Nodes: 4, Duration: 20 * time.Second, Seed: 1, Progress: t.Output()})
	require.NoError(t, err)
	t.Log(report)
	require.Empty(t, report.Violations())
	require.Positive(t, report.Count("steps completed"))
	require.Positive(t, report.Count("updates answered"))
}
