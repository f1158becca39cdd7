package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `  20.10 n1 time=2026-03-02T18:46:46.200Z level=WARN msg="attempt failed" event=8032 node=n1 item=i7 endpoint=e3 events=12 cause="call.broken: no complete answer"
time=2026-03-02T18:46:46.100Z level=INFO msg="submission opened" event=8042 node=n1 submission=s1 items=48
time=2026-03-02T18:46:46.300Z level=WARN msg="peer dead" event=8023 node=n2
time=2026-03-02T18:46:46.900Z level=DEBUG msg="item scored" event=8061 node=n2 item=i7 submission=s1
time=2026-03-02T18:46:47.000Z level=DEBUG msg="item scored" event=8061 node=n2 item=i8 submission=s2
not a log line
`

func TestTimelineFollowsAnItemAcrossNodes(t *testing.T) {
	var out strings.Builder
	found, err := Timeline("i7", strings.NewReader(logs), &out)
	require.NoError(t, err)
	require.Equal(t, 3, found)
	require.Equal(t, `timeline of i7
+0.00s n1: submission opened
  items 48
+0.10s n1: attempt failed
  cause call.broken: no complete answer,
  endpoint e3, events 12
+0.20s n2: peer dead
+0.80s n2: item scored
`, out.String())
}

func TestTimelineFitsAPhoneAndCountsOmittedLines(t *testing.T) {
	var long strings.Builder
	for i := range 100 {
		fmt.Fprintf(&long, "time=2026-03-02T18:46:%02d.%03dZ level=INFO msg=\"attempt failed\" node=a-node-with-a-long-name request=r1 cause=\"%s\"\n", i/10, i, strings.Repeat("x", 80))
	}
	var out strings.Builder
	_, err := Timeline("r1", strings.NewReader(long.String()), &out)
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
	found, err := Timeline("nobody", strings.NewReader(logs), &out)
	require.NoError(t, err)
	require.Zero(t, found)
	require.Equal(t, "no log line mentions nobody\n", out.String())
}

// timeline returns the timeline of an id.
func timeline(t *testing.T, id, logs string) string {
	t.Helper()
	var out strings.Builder
	_, err := Timeline(id, strings.NewReader(logs), &out)
	require.NoError(t, err)
	return out.String()
}

// TestTimelineMergesEventsOfSeveralNodes checks that an event that several nodes log at
// about the same time is shown once.
func TestTimelineMergesEventsOfSeveralNodes(t *testing.T) {
	text := timeline(t, "r1", `time=2026-03-02T18:46:46.000Z msg="node started" node=n1
time=2026-03-02T18:46:46.010Z msg="store lost" node=n1 cause=down
time=2026-03-02T18:46:46.020Z msg="store lost" node=n2 cause=down
time=2026-03-02T18:46:46.030Z msg="store lost" node=n1 cause=down
time=2026-03-02T18:46:46.900Z msg="store lost" node=n3 cause=down
time=2026-03-02T18:46:46.950Z msg="request failed" node=n1 request=r1 status=503
time=2026-03-02T18:46:46.960Z msg="request failed" node=n1 request=r1 status=503
`)
	require.Equal(t, `timeline of r1
+0.00s n1: node started
+0.01s 2 nodes: store lost
  cause down
+0.90s n3: store lost
  cause down
+0.95s n1: request failed
  status 503
+0.96s n1: request failed
  status 503
`, text)
}

// TestTimelineDistinguishesKilledFromRestarted checks that only a node that starts again
// without a shutdown is reported as killed or crashed.
func TestTimelineDistinguishesKilledFromRestarted(t *testing.T) {
	text := timeline(t, "r1", `time=2026-03-02T18:46:46.000Z msg="node started" node=n1
time=2026-03-02T18:46:46.000Z msg="node started" node=n2
time=2026-03-02T18:46:50.000Z msg="node draining" node=n2
time=2026-03-02T18:46:50.100Z msg="unit lost" node=n2
time=2026-03-02T18:46:50.900Z msg="node started" node=n2
time=2026-03-02T18:46:50.950Z msg="request failed" node=n2 request=r1
time=2026-03-02T18:46:51.500Z msg="node started" node=n1
`)
	require.Contains(t, text, "n2: node started\n+0.")
	require.Contains(t, text, "n1: node started\n  cause the previous process was killed or\n  crashed\n")
}

// TestTimelineStartsWithTheStateOfTheNode checks that the last earlier event of the node
// is included however old it is, since it can explain a refusal.
func TestTimelineStartsWithTheStateOfTheNode(t *testing.T) {
	text := timeline(t, "r1", `time=2026-03-02T18:46:30.000Z msg="node started" node=n1
time=2026-03-02T18:46:31.000Z msg="store lost" node=n1
time=2026-03-02T18:46:32.000Z msg="store lost" node=n2
time=2026-03-02T18:46:46.950Z msg="request failed" node=n1 request=r1 status=503
`)
	require.Equal(t, "timeline of r1\n+0.00s n1: store lost\n+15.95s n1: request failed\n  status 503\n", text)
}

// TestTimelineOfAnItemHasNoOtherItems checks that lines about other items of the same
// submission are not shown.
func TestTimelineOfAnItemHasNoOtherItems(t *testing.T) {
	text := timeline(t, "i7", `time=2026-03-02T18:46:46.000Z msg="submission opened" node=n1 submission=s1 items=48
time=2026-03-02T18:46:46.100Z msg="item scored" node=n1 item=i8 submission=s1
time=2026-03-02T18:46:46.200Z msg="item abandoned" node=n1 item=i9 submission=s1 cause="failed on every attempt"
time=2026-03-02T18:46:46.300Z msg="item scored" node=n1 item=i7 submission=s1
`)
	require.Equal(t, "timeline of i7\n+0.00s n1: submission opened\n  items 48\n+0.30s n1: item scored\n", text)
}

// TestOutcomeOfAnItemIsNotCut checks that the cause of an item's outcome is printed in full
// however much else happened.
func TestOutcomeOfAnItemIsNotCut(t *testing.T) {
	var log strings.Builder
	for i := range 60 {
		fmt.Fprintf(&log, "time=2026-03-02T18:46:%02d.000Z msg=\"store lost\" node=n%d cause=\"metastore.unknown: no response from the store\"\n", i/2, i)
		fmt.Fprintf(&log, "time=2026-03-02T18:46:%02d.500Z msg=\"attempt failed\" node=n1 item=i7 cause=\"call.broken: no complete answer\"\n", i/2)
	}
	log.WriteString(`time=2026-03-02T18:46:30.000Z msg="item abandoned" node=n1 item=i7 submission=s1 cause="the scoring call failed on every attempt"` + "\n")
	text := timeline(t, "i7", log.String())
	require.Contains(t, text, "n1: item abandoned\n  cause the scoring call failed on every\n  attempt\n")
	require.Less(t, strings.Count(text, "\n"), Lines)
	require.Contains(t, text, "lines left out")
}

// TestTimelineOfAStepSaysWhereItsTimeWent checks that the timeline of a submission has the
// parts of its time, what happened to its slowest item, and which items were abandoned.
func TestTimelineOfAStepSaysWhereItsTimeWent(t *testing.T) {
	text := timeline(t, "s1", `time=2026-03-02T18:46:46.000Z msg="submission opened" node=n1 submission=s1 items=48
time=2026-03-02T18:46:47.000Z msg="item moved" node=n1 item=i3 endpoint=e1 events=20 cause="slower than another engine"
time=2026-03-02T18:46:48.000Z msg="item moved" node=n1 item=i7 endpoint=e3 events=60 cause=stalled
time=2026-03-02T18:46:50.000Z msg="item abandoned" node=n1 item=i9 submission=s1 cause="permanently rejected"
time=2026-03-02T18:46:55.000Z msg="step timed" node=n1 submission=s1 listed=48 slowest=i7 text_events=189 moves=1 total_ms=9000 bound_ms=7000 waiting_ms=15 loading_ms=0 moving_ms=320 generating_ms=6900 slower_ms=1500 scoring_ms=265
`)
	require.Equal(t, `timeline of s1
+0.00s n1: submission opened
  items 48
+2.00s n1: item moved
  cause stalled, endpoint e3, events 60
+4.00s n1: item abandoned
  cause permanently rejected
+9.00s n1: step timed
  listed 48, slowest i7, text_events 189,
  moves 1, total_ms 9000, bound_ms 7000,
  moving_ms 320, generating_ms 6900,
  slower_ms 1500, scoring_ms 265
`, text)
}
