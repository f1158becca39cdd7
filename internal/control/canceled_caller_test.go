package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExchangesOutliveTheCallThatStartsThem cancels the context of each call right
// after it started exchanges. An exchange that ended with that context would stay
// marked as running, and its peer would never be contacted again.
func TestExchangesOutliveTheCallThatStartsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(4)
		elapse(3 * time.Second)
		for i := range 50 {
			ctx, cancel := context.WithCancel(t.Context())
			managers[0].SetVersions(ctx, fmt.Sprint("model-", i), 1, 0)
			cancel()
		}
		elapse(3*time.Second + defaultRoundInterval/2) // between two rounds
		synctest.Wait()
		stuck := -1
		managers[0].do(t.Context(), func(time.Time) { stuck = len(managers[0].running) })
		require.Zero(t, stuck, "an exchange whose result was lost blocks all later exchanges with its peer")
		for _, m := range managers {
			require.Len(t, m.Snapshots().Load().Versions, 50)
			require.Empty(t, m.Snapshots().Load().Dead)
		}
	})
}
