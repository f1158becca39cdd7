package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `  20.10 n1 time=2026-03-02T18:46:46.200Z level=WARN msg="attempt failed" event=8032 node=n1 item=i7 endpoint=e3 events=12 cause="call.broken: no whole answer"
time=2026-03-02T18:46:46.100Z level=INFO msg="submission opened" event=8042 node=n1 submission=s1 items=48
time=2026-03-02T18:46:46.300Z level=WARN msg="peer dead" event=8023 node=n2
time=2026-03-02T18:46:46.900Z level=DEBUG msg="item scored" event=8061 node=n2 item=i7 submission=s1
time=2026-03-02T18:46:47.000Z level=DEBUG msg="item scored" event=8061 node=n2 item=i8 submission=s2
not a log line
`

func TestStoryFollowsAnItemThroughNodes(t *testing.T) {
	var out strings.Builder
	found, err := Story("i7", strings.NewReader(logs), &out)
	require.NoError(t, err)
	require.Equal(t, 3, found)
	require.Equal(t, `story of i7
+0.00s n1: submission opened
  items 48
+0.10s n1: attempt failed
  cause call.broken: no whole answer, endpoi…
+0.20s n2: peer dead
+0.80s n2: item scored
`, out.String())
}

func TestStoryFitsAPhoneAndSaysWhatIsLeftOut(t *testing.T) {
	var long strings.Builder
	for i := range 100 {
		fmt.Fprintf(&long, "time=2026-03-02T18:46:%02d.%03dZ level=INFO msg=\"attempt failed\" node=a-node-with-a-long-name request=r1 cause=\"%s\"\n", i/10, i, strings.Repeat("x", 80))
	}
	var out strings.Builder
	_, err := Story("r1", strings.NewReader(long.String()), &out)
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Less(t, len(lines), Lines)
	for _, l := range lines {
		require.LessOrEqual(t, len([]rune(l)), Columns)
	}
	require.Contains(t, out.String(), "lines left out")
}

func TestUnknownID(t *testing.T) {
	var out strings.Builder
	found, err := Story("nobody", strings.NewReader(logs), &out)
	require.NoError(t, err)
	require.Zero(t, found)
	require.Equal(t, "no line tells of nobody\n", out.String())
}
