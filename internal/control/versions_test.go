package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOldestWithin(t *testing.T) {
	start := time.Unix(1000, 0)
	var v Versions
	for i := range int64(3) {
		v = v.accept(7+i, start.Add(time.Duration(i)*13*time.Minute)) // 7, 8 and 9
	}
	now := start.Add(30 * time.Minute)
	require.Equal(t, int64(8), v.OldestWithin(15*time.Minute, now), "version 8 was replaced 4 minutes ago and version 7 was replaced 17 minutes ago")
	require.Equal(t, int64(7), v.OldestWithin(20*time.Minute, now))
	require.Equal(t, int64(9), v.OldestWithin(time.Minute, now))
	require.Equal(t, int64(0), v.OldestWithin(time.Hour, now))
	require.Equal(t, v, v.accept(8, now), "an older version changes nothing")
	for i := range int64(100) {
		v = v.accept(100+i, now)
	}
	require.Len(t, v.accepted, maxAccepted)
}
