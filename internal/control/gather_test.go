package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/stretchr/testify/require"
)

// TestReportHearsEveryEntry gives each of many entries more classes than the
// exchange can spread at once.
func TestReportHearsEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, classes = 30, 64
		f := newFleet(t)
		defer f.stop()
		all := f.size(entries)
		elapse(10 * time.Second)
		f.with(func() { f.cut["entry7"] = true }) // before it has anything to tell
		for i, m := range all {
			var digests []*peerpb.ClassDigest
			for c := range classes {
				digests = append(digests, &peerpb.ClassDigest{Class: string(rune('a'+c%26)) + string(rune('a'+c/26)), Sequence: int64(i + 1), Answered: 1})
			}
			m.SetDigests(t.Context(), digests)
		}
		heard := map[string]int{}
		for _, d := range all[0].Digests(t.Context()) {
			heard[d.News.Entry]++
		}
		for _, m := range all {
			want := classes
			if m.options.ID == "entry7" {
				want = 0
			}
			require.Equal(t, want, heard[m.options.ID], m.options.ID)
		}
	})
}
