package share

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func accountNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("account-%05d", i)
	}
	return names
}

// passAll returns a gate that knows the accounts and has room.
func passAll(names []string) *Gate {
	g := NewGate()
	g.SetFree(1e12, testStart)
	for _, name := range names {
		_, _ = g.Offer(Work{Account: name}, testStart)
	}
	return g
}

// TestRoomAllocatesNothing guards the path of requests that have room.
func TestRoomAllocatesNothing(t *testing.T) {
	names := accountNames(10_000)
	g := passAll(names)
	i := 0
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		i++
		_, _ = g.Offer(Work{Account: names[i*7919%len(names)]}, testStart)
		g.Ended(testStart)
	}))
}

func BenchmarkRoom(b *testing.B) {
	for _, accounts := range []int{87, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			names := accountNames(accounts)
			g, now := passAll(names), testStart
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				_, _ = g.Offer(Work{Account: names[i*7919%accounts]}, now)
				g.Ended(now)
			}
		})
	}
}

// BenchmarkShortage measures a request that waits, gets room and ends.
func BenchmarkShortage(b *testing.B) {
	for _, accounts := range []int{87, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			names := accountNames(accounts)
			s, now := NewScheduler[int](), testStart
			for i := range 2000 {
				s.Push(names[i%accounts], i%3, 1, i, now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				s.Push(names[i*7919%accounts], i%3, 1, i, now)
				s.Next(now)
			}
		})
	}
}

// TestMemoryOfAccounts checks that an account of which work waits takes at most 1 KB.
func TestMemoryOfAccounts(t *testing.T) {
	const accounts, limit = 10_000, 1 << 10
	names := accountNames(accounts)
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	s := NewScheduler[int]()
	for _, name := range names {
		s.Push(name, 0, 1, 0, testStart)
	}
	each := (heap() - before) / accounts
	t.Logf("%d bytes", each)
	require.LessOrEqual(t, each, uint64(limit))
	runtime.KeepAlive(s)
	runtime.KeepAlive(names)
}
