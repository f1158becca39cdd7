package freshness_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/freshness"
	"github.com/comfreyfront/comfreyfront/internal/seedtest"
)

func TestMain(m *testing.M) {
	seedtest.Fix()
	os.Exit(m.Run())
}

func TestCertaintyEndsBeforeTheLimit(t *testing.T) {
	const limit = 5 * time.Second
	at := func(d time.Duration) freshness.Instant { return freshness.Instant(time.Hour + d) }
	var tracker freshness.Tracker
	require.False(t, tracker.Certain(at(0), limit), "nothing is certain before the first confirmation")
	tracker.Confirmed(freshness.None)
	require.False(t, tracker.Certain(at(0), limit))
	tracker.Confirmed(at(0))
	tracker.Confirmed(at(-time.Second))
	require.Equal(t, at(0), tracker.Last(), "a confirmation never goes back")
	last := limit - freshness.Margin(limit)
	require.True(t, tracker.Certain(at(last-1), limit))
	require.False(t, tracker.Certain(at(last), limit))
	require.False(t, tracker.Certain(at(-1), limit), "the clock was set back")
}

func TestRangeIsAsOldAsItsOldestPage(t *testing.T) {
	require.Equal(t, freshness.None, freshness.OfPages(5, freshness.None))
	require.Equal(t, freshness.Instant(4), freshness.OfPages(4, 5))
}

// TestRepliesNeverClaimTooMuch passes a confirmation along a chain of nodes whose clocks
// started at different times, with any delay between the steps of each call. No node may
// conclude a later instant than the one that the first node confirmed.
func TestRepliesNeverClaimTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		pass := func(what string) { now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, what)) }
		truth := now // when the store answered the first node
		start := time.Duration(0)
		upTo := freshness.Instant(now)
		pass("answer")
		for range rapid.IntRange(1, 4).Draw(t, "nodes") {
			nextStart := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "start"))
			sent := freshness.Instant(now - nextStart)
			pass("request")
			age := freshness.ReplyAge(freshness.Instant(now-start), upTo)
			pass("reply")
			upTo, start = freshness.OfReply(sent, age), nextStart
			require.LessOrEqual(t, time.Duration(upTo)+start, max(truth, start))
		}
	})
}

func TestMalformedAgesConfirmNothing(t *testing.T) {
	for _, age := range []int64{0, -1, 1 << 62, -1 << 63} {
		require.Equal(t, freshness.None, freshness.OfReply(freshness.Instant(time.Hour), age), age)
	}
	require.Zero(t, freshness.ReplyAge(5, freshness.None))
}
