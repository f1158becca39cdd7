package accountreport

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/phone"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
)

func TestFiguresCoverTheWindow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := &Recorder{Now: func() time.Time { return now }}
	r.Ended("a", routereport.Answered, time.Second, nil)
	r.Ended(NoAccount, routereport.Rejected, time.Second, account.ErrUnknownKey.New("unknown"))
	r.Ended("b", routereport.Refused, time.Second, account.ErrUncertain.New("unsure"))
	now = now.Add(routereport.Window - slotTime)
	r.Ended("a", routereport.Unknown, time.Second, nil)
	a := r.Figure("a")
	require.EqualValues(t, 2, a.Requests())
	require.Zero(t, a.Refused())
	refusals := [account.RefusalCount]int64{account.RefusedUnknown: 1, account.RefusedUncertain: 1}
	require.Equal(t, refusals, r.Refusals())
	now = now.Add(slotTime)
	a = r.Figure("a")
	require.EqualValues(t, 1, a.Requests())
	require.Zero(t, r.Refusals())
	totals := r.totals()
	require.Equal(t, "b", totals[2].name)
	require.EqualValues(t, 1, totals[2].figure.Refusals[account.RefusedUncertain], "metrics count from the start")
	require.EqualValues(t, 2, totals[1].times.buckets[2], "a second is in the bucket up to a second")
	require.InDelta(t, 2, totals[1].times.seconds, 0)
}

func TestCountedAccountsAreBounded(t *testing.T) {
	r := &Recorder{}
	for i := range maxAccounts + 10 {
		r.Ended(fmt.Sprint(i), routereport.Answered, time.Second, nil)
	}
	require.Len(t, r.totals(), maxAccounts)
}

// TestMemoryOfCounts checks that the counts of an account take at most 600 bytes: with its
// entry in the directory it stays below 1 KB.
func TestMemoryOfCounts(t *testing.T) {
	const accounts, limit = 10_000, 600
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
	before := heap()
	r := &Recorder{}
	for _, name := range names {
		r.Ended(name, routereport.Answered, time.Second, nil)
	}
	after := heap()
	require.LessOrEqual(t, (after-before)/accounts, uint64(limit))
	runtime.KeepAlive(r)
	runtime.KeepAlive(names)
}

func TestReportFitsOnAPhone(t *testing.T) {
	full := Figure{}
	for i := range full.Outcomes {
		full.Outcomes[i] = 1_000_000
	}
	for i := range full.Refusals {
		full.Refusals[i] = 1_000_000
	}
	report := Report{Version: 999_999, NodesReporting: 330, Nodes: 330, Account: strings.Repeat("x", 80), Figure: full, KeyRefusals: full.Refusals}
	lines := strings.Split(strings.TrimSuffix(report.Text(), "\n"), "\n")
	require.LessOrEqual(t, len(lines), phone.Lines)
	for _, line := range lines {
		require.LessOrEqual(t, utf8.RuneCountInString(line), phone.Columns, line)
	}
}
