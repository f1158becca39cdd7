package account

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// definitions returns accounts with two keys each.
func definitions(accounts int) []Definition {
	list := make([]Definition, accounts)
	for i := range list {
		list[i] = Definition{Account: Account{Name: fmt.Sprintf("account-%05d", i)}, Keys: []string{testKey(i, 0), testKey(i, 1)}}
	}
	return list
}

func testKey(n, k int) string { return fmt.Sprintf("key-%05d-%d-0123456789", n, k) }

func directoryOf(t testing.TB, accounts int) *Directory {
	d, err := NewDirectory(definitions(accounts))
	require.NoError(t, err)
	return d
}

func certain() bool { return true }

// TestIdentificationAllocatesNothing guards the path that every request takes.
func TestIdentificationAllocatesNothing(t *testing.T) {
	for _, accounts := range []int{87, 10_000} {
		d := directoryOf(t, accounts)
		credential := Credential{Key: testKey(accounts/2, 1)}
		require.Zero(t, testing.AllocsPerRun(100, func() {
			if caller, err := d.Identify(credential, false, certain); err != nil || caller.Account == nil {
				t.Error("not identified")
			}
		}))
	}
}

// TestMemoryOfAccounts checks that an account with two keys takes at most 1 KB.
func TestMemoryOfAccounts(t *testing.T) {
	const accounts, limit = 10_000, 1 << 10
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	d := directoryOf(t, accounts)
	after := heap()
	require.LessOrEqual(t, (after-before)/accounts, uint64(limit))
	runtime.KeepAlive(d)
}

func TestAPriorityGoesBeforeThatOfTheRoute(t *testing.T) {
	var none *Account
	require.Equal(t, 4, none.PriorityOver(4))
	require.Equal(t, 4, (&Account{Name: "a"}).PriorityOver(4))
	require.Equal(t, 0, (&Account{Name: "a", HasPriority: true}).PriorityOver(4))
}

func TestOnlyTheOwnerMayUseWhatItSubmitted(t *testing.T) {
	a := Caller{Checked: true, Account: &Account{Name: "a"}}
	keyless := Caller{Checked: true}
	require.True(t, a.MayUse("a"))
	require.True(t, a.MayUse(""))
	require.False(t, a.MayUse("b"))
	require.True(t, keyless.MayUse(""))
	require.False(t, keyless.MayUse("b"))
	require.True(t, Caller{}.MayUse("b"), "without accounts nothing is checked")
}

func BenchmarkIdentify(b *testing.B) {
	for _, accounts := range []int{87, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d := directoryOf(b, accounts)
			credentials := make([]Credential, 64)
			for i := range credentials {
				credentials[i].Key = testKey(i*7919%accounts, i%2)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := d.Identify(credentials[i%len(credentials)], false, certain); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
