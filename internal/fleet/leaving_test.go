package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnswerThatSaysLeavingHoldsWhileTheProcessLives guards against new work for an endpoint
// that said in an answer that it is leaving, while the directory still shows it as ready, or
// shows it again after an outage of the store.
func TestAnswerThatSaysLeavingHoldsWhileTheProcessLives(t *testing.T) {
	for name, row := range map[string]struct{ first, same, restarted Endpoint }{
		"by start":   {first: Endpoint{Born: 1, Changes: 7}, same: Endpoint{Born: 1, Changes: 8}, restarted: Endpoint{Born: 2, Changes: 9}},
		"by changes": {first: Endpoint{Changes: 7}, same: Endpoint{Changes: 8}, restarted: Endpoint{Changes: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			now := baseTime
			d := newDirectory(&now)
			changes := 0
			d.Changed = func() { changes++ }
			set := func(e Endpoint) {
				e.ID, e.Service = "e", "s"
				d.Set(&e)
				d.Publish()
			}
			chosen := func() bool {
				_, ok := Choose(d.Of("s"), Work{}, now)
				return ok
			}
			set(row.first)
			require.True(t, chosen())
			before := changes
			d.Of("s")[0].Live.MarkLeaving()
			d.Of("s")[0].Live.MarkLeaving()
			require.Equal(t, before+1, changes, "what waits for endpoints is woken once")
			require.False(t, chosen())
			set(row.same)
			require.False(t, chosen(), "the directory still shows it as ready")
			d.Remove("e")
			d.Publish()
			require.Zero(t, d.Len())
			set(row.same)
			require.False(t, chosen(), "the same process has registered again")
			d.StoreLost()
			d.Remove("e")
			d.StoreRegained()
			set(row.same)
			require.False(t, chosen())
			set(row.restarted)
			require.True(t, chosen(), "a new process under the same ID")
		})
	}
}
