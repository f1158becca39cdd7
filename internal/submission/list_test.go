package submission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// TestDueResultsAreBatched checks which results are written together. Before the
// trainer's target is reached, results of any group wait to share a write; afterwards,
// those of complete groups are written at once.
func TestDueResultsAreBatched(t *testing.T) {
	now := testNow()
	ready := func(id, group string, age time.Duration) *item {
		return &item{record: &recordpb.Item{Id: id, Group: group}, state: finished, readyAt: now.Add(-age), result: &recordpb.Result{Id: id}}
	}
	for _, row := range []struct {
		name       string
		ready      []*item
		unfinished map[string]int
		wanted     int32
		want       []string
	}{
		{"no result ready", nil, map[string]int{"g": 1}, 1, nil},
		{"target not reached", []*item{ready("a", "g", gatherResults-1), ready("b", "h", 0)}, map[string]int{"g": 1, "h": 0}, 2, nil},
		{"oldest result has waited long enough", []*item{ready("a", "g", gatherResults), ready("b", "h", 0)}, map[string]int{"g": 1, "h": 3}, 2, []string{"a", "b"}},
		{"target reached", []*item{ready("a", "g", 0), ready("b", "h", 0)}, map[string]int{"g": 1, "h": 0}, 1, []string{"b"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := &ownedSubmission{record: &recordpb.Submission{WantedGroups: row.wanted}, ready: row.ready, unfinished: row.unfinished}
			var got []string
			for _, i := range s.due(now) {
				got = append(got, i.record.GetId())
			}
			require.Equal(t, row.want, got)
		})
	}
}
