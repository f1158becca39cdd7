package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReplacedForCountsFromTheNextVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	v := Versions{}.accept(7, start).accept(9, start.Add(10*time.Minute)).accept(10, start.Add(20*time.Minute))
	for _, row := range []struct {
		version int64
		ago     time.Duration
		known   bool
	}{
		{11, 0, true}, {10, 0, true}, {9, 10 * time.Minute, true}, {8, 20 * time.Minute, true}, {7, 20 * time.Minute, true},
		{6, 30 * time.Minute, false}, // replaced before this entry learned of any version
	} {
		ago, known := v.ReplacedFor(row.version, start.Add(30*time.Minute))
		require.Equal(t, row.ago, ago, row.version)
		require.Equal(t, row.known, known, row.version)
	}
	_, known := Versions{}.ReplacedFor(1, start)
	require.False(t, known, "no accepted rollout")
}
