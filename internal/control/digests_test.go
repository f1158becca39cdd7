package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/stretchr/testify/require"
)

// TestDigestsIncludeEveryReachableEntry gives each of many entries more classes than
// the periodic exchange can spread in time, and cuts one entry off.
func TestDigestsIncludeEveryReachableEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, classes = 30, 64
		f := newFleet(t)
		defer f.stop()
		managers := f.startEntries(entries)
		elapse(10 * time.Second)
		f.with(func() { f.cut["entry7"] = true }) // before it has any digests to send
		for i, m := range managers {
			var digests []*peerpb.ClassDigest
			for c := range classes {
				digests = append(digests, &peerpb.ClassDigest{Class: string(rune('a'+c%26)) + string(rune('a'+c/26)), Sequence: int64(i + 1), Answered: 1})
			}
			m.SetDigests(t.Context(), digests)
		}
		counts := map[string]int{}
		for _, d := range managers[0].Digests(t.Context()) {
			counts[d.News.Entry]++
		}
		for _, m := range managers {
			want := classes
			if m.options.ID == "entry7" {
				want = 0
			}
			require.Equal(t, want, counts[m.options.ID], m.options.ID)
		}
	})
}
