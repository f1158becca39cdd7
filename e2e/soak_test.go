package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/soak"
)

// TestSoak plays faults of all kinds on node processes for a short while: no promise
// to callers or trainers is broken, and steps get whole. `make soak` plays longer.
func TestSoak(t *testing.T) {
	t.Parallel()
	report, err := soak.Run(context.Background(), soak.Options{Binary: binaries.Entry, Nodes: 4, Duration: 20 * time.Second, Seed: 1, Progress: t.Output()})
	require.NoError(t, err)
	t.Log(report)
	require.Empty(t, report.Violations())
	require.Positive(t, report.Count("steps whole"))
	require.Positive(t, report.Count("updates answered"))
}
