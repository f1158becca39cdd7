package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestExchangesOutliveTheCallThatBeganThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		all := f.size(4)
		elapse(3 * time.Second)
		for i := range 50 {
			ctx, cancel := context.WithCancel(t.Context())
			all[0].SetVersions(ctx, fmt.Sprint("model-", i), 1, 0)
			cancel()
		}
		elapse(3*time.Second + defaultRoundInterval/2) // between two rounds
		synctest.Wait()
		stuck := -1
		all[0].do(t.Context(), func(time.Time) { stuck = len(all[0].running) })
		require.Zero(t, stuck, "a peer whose exchange was lost is never asked again")
		for _, m := range all {
			require.Len(t, m.Snapshots().Load().Versions, 50)
			require.Empty(t, m.Snapshots().Load().Dead)
		}
	})
}
