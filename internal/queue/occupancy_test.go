package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOccupancyIsTheMeanNumberOfSlots(t *testing.T) {
	o := occupancy{window: 2 * time.Second}
	now := time.Unix(0, 0)
	require.Zero(t, o.slots(now))
	for range 400 {
		o.start(now, 300*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
		if now.Sub(o.first) > time.Second {
			require.InDelta(t, 3, o.slots(now), 0.5)
		}
	}
	require.Less(t, o.slots(now.Add(time.Minute)), 0.01)
}
