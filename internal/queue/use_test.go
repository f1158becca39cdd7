package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUseIsTheMeanNumberOfPlaces(t *testing.T) {
	u := use{memory: 2 * time.Second}
	now := time.Unix(0, 0)
	require.Zero(t, u.places(now))
	for range 400 {
		u.start(now, 300*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
		if now.Sub(u.first) > time.Second {
			require.InDelta(t, 3, u.places(now), 0.5)
		}
	}
	require.Less(t, u.places(now.Add(time.Minute)), 0.01)
}
