package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnnouncedTimeOfLeavingHolds checks that a record which arrives again does not delay the
// time at which its endpoint leaves, and that a new process starts without one.
func TestAnnouncedTimeOfLeavingHolds(t *testing.T) {
	now := baseTime
	d := newDirectory(&now)
	set := func(e Endpoint) time.Time {
		e.ID, e.Service = "e", "s"
		d.Set(&e)
		d.Publish()
		return d.Of("s")[0].LeavesAt
	}
	require.Zero(t, set(Endpoint{Born: 1, Reclaimable: true}))
	at := now.Add(2 * time.Second)
	require.Equal(t, at, set(Endpoint{Born: 1, Draining: true, LeavesIn: 2 * time.Second}))
	now = now.Add(time.Second)
	require.Equal(t, at, set(Endpoint{Born: 1, Draining: true, LeavesIn: 2 * time.Second}))
	require.Equal(t, now.Add(500*time.Millisecond), set(Endpoint{Born: 1, Draining: true, LeavesIn: 500 * time.Millisecond}))
	require.Zero(t, set(Endpoint{Born: 2}))
}
