package usage

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// steppedClock is a clock whose time of day is set off.
type steppedClock struct {
	boot time.Duration
	step time.Duration
}

func (c *steppedClock) wall() time.Time {
	return time.Unix(1_700_000_000, 0).Add(c.boot + c.step)
}

func TestClockIgnoresStepsThatAreTakenBack(t *testing.T) {
	c := &steppedClock{}
	clock := NewClock(c.wall, func() time.Duration { return c.boot })
	read := func(seconds int) {
		for range seconds {
			c.boot += time.Second
			clock.sample()
		}
	}
	difference := func() time.Duration {
		return clock.Now() - time.Duration(time.Unix(1_700_000_000, 0).Add(c.boot).UnixNano())
	}
	read(60)
	c.step = -40 * time.Second
	read(25)
	require.Zero(t, difference())
	c.step = 0
	read(60)
	c.step = 2 * time.Second
	read(maxSamples)
	require.Equal(t, 2*time.Second, difference(), "a correction that stays is followed")
}

func TestCollectorKeepsTheHighestCountOfEachProcess(t *testing.T) {
	now := 1000 * testLength
	c := NewCollector(testLength, func() time.Duration { return now })
	batch := func(incarnation int64, w Window, account string, count int64) []Batch {
		return []Batch{{Process: Process{"n", incarnation}, Windows: map[Window]Counts{w: {account: count}}}}
	}
	for range 2 {
		c.Merge(batch(1, 1000, "a", 3))
		c.Merge(batch(1, 1000, "a", 2))
		c.Merge(batch(2, 1000, "a", 4))
		c.Merge(batch(1, 999, "b", 1))
		c.Merge(batch(1, 1002, "a", 1)) // in the future
		c.Merge(batch(1, 1, "a", 1))    // long ago
	}
	require.Equal(t, Counts{"a": 7}, c.Sum(1000))
	earliest, found := c.Earliest()
	require.True(t, found)
	require.Equal(t, Window(999), earliest)
	c.Reported(999)
	c.Merge(batch(1, 999, "b", 5))
	require.Empty(t, c.Sum(999), "the report of the window is fixed")
	require.Equal(t, Counts{"a": 4}, func() Counts {
		other := NewCollector(testLength, func() time.Duration { return now })
		other.Merge(c.Batches(Process{"n", 1}))
		return other.Sum(1000)
	}())
}

func TestCounterHoldsFewWindows(t *testing.T) {
	now := time.Duration(0)
	c := NewCounter(testLength, func() time.Duration { return now })
	for range 1000 {
		now += testLength
		c.Count("a", 0)
	}
	windows, changes := c.Since(0)
	require.LessOrEqual(t, len(windows), int(retention/testLength)+1)
	require.Equal(t, int64(1000), changes)
	windows, _ = c.Since(changes)
	require.Empty(t, windows)
}

func TestScheduleOmitsWindowsOfLongAgo(t *testing.T) {
	s := schedule{testLength, testDue}
	now := 1000*testLength + time.Second
	w, omitted := s.next(nil, 1000, now)
	require.Equal(t, []int64{1000, 0}, []int64{int64(w), omitted})
	w, omitted = s.next(&Record{Window: 998}, 0, now)
	require.Equal(t, []int64{999, 0}, []int64{int64(w), omitted})
	w, omitted = s.next(&Record{Window: 100}, 0, now)
	require.Equal(t, []int64{1000 - maxOverdue, 1000 - maxOverdue - 101}, []int64{int64(w), omitted})
}

func BenchmarkCount(b *testing.B) {
	for _, accounts := range []int{100, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			names := make([]string, accounts)
			now := time.Hour
			c := NewCounter(testLength, func() time.Duration { return now })
			for i := range names {
				names[i] = fmt.Sprintf("account-%d", i)
				c.Count(names[i], 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Count(names[i%accounts], 0)
			}
		})
	}
}

func TestCountAllocatesNothing(t *testing.T) {
	now := time.Hour
	c := NewCounter(testLength, func() time.Duration { return now })
	c.Count("a", 0)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.Count("a", 0) }))
}

// TestMemoryOfCounts checks that the counts of an account take at most 400 bytes in the
// windows that a process keeps while reports are fixed in time.
func TestMemoryOfCounts(t *testing.T) {
	const accounts, windows, limit = 10_000, 4, 400
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	now := time.Hour
	c := NewCounter(testLength, func() time.Duration { return now })
	before := heap()
	for range windows {
		now += testLength
		for _, name := range names {
			c.Count(name, 0)
		}
	}
	perAccount := (heap() - before) / accounts
	runtime.KeepAlive(c)
	t.Logf("%d bytes an account", perAccount)
	require.LessOrEqual(t, perAccount, uint64(limit))
}
