package submission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// TestRunsThatCannotFinishAreMoved checks that runs leave an endpoint that is gone before
// their end, the oldest submission's first, while others finish there and nothing new begins.
func TestRunsThatCannotFinishAreMoved(t *testing.T) {
	f := newFixture(2)
	now := time.Now()
	announce := func(e *fleet.Endpoint) *engines {
		f.directory.Set(e)
		f.directory.Publish()
		return newEngines(f.directory.Of("s"), fleet.NewLoadSlope(), "z", now)
	}
	leaving := &fleet.Endpoint{ID: "e0", Service: "s", Slots: 4, Draining: true, Reclaimable: true, LeavesIn: 2 * time.Second, Versions: map[string]int64{"m": 1}}
	engines := announce(leaving)
	from, _ := f.directory.Find("e0")
	engines.runs["e0"], engines.runs["e1"] = 3, 3 // one slot is left elsewhere
	o := f.owner(t, "n")
	candidateOf := func(accepted int64, remaining float64) candidate {
		s := &ownedSubmission{head: head{AcceptedMillis: accepted}, record: &recordpb.Submission{Model: "m", MinVersion: 1}}
		i := &item{record: &recordpb.Item{}, submission: s, state: running, run: &run{endpoint: from, startedAt: now, lastEvent: now}}
		return candidate{i, remaining}
	}
	short, older, newer := candidateOf(1, 10), candidateOf(2, 100), candidateOf(3, 100)
	running := []candidate{newer, short, older}
	sortOldestFirst(running)
	moved := map[int64]string{}
	for _, c := range running {
		cause, _ := o.moveCause(c, engines, now)
		moved[c.submission.head.AcceptedMillis] = cause
	}
	require.Equal(t, map[int64]string{1: "", 2: causeLeaving, 3: ""}, moved, "10 events take 0.4 s, 100 take 4 s")
	e, ok := engines.choose(need{model: "m", minVersion: 1}, 1)
	require.False(t, ok, "the other engine is full now, and the leaving one gets nothing: %v", e)
}

// TestWorkloads checks what is reported of open and of coming work.
func TestWorkloads(t *testing.T) {
	f := newFixture(0)
	o := f.owner(t, "n")
	now := time.Now()
	open := func(id string, accepted time.Time) {
		o.Open(submissionOf(id, 2, 3, 1), head{AcceptedMillis: accepted.UnixMilli()}, nil, 0)
	}
	open("s1", now.Add(-4*time.Second))
	first := o.Workloads([]string{"m", "other"}, now)
	require.Len(t, first[0].Open, 1)
	require.Equal(t, 6, first[0].Open[0].Items)
	require.Positive(t, first[0].Open[0].Work)
	require.Zero(t, first[0].Arriving, "the interval is not known yet")
	require.Empty(t, first[1].Open)
	o.End("s1")
	open("s2", now)
	second := o.Workloads([]string{"m"}, now)
	require.Len(t, second[0].Open, 1)
	require.InDelta(t, 4, second[0].Interval.Seconds(), 0.01)
	require.InDelta(t, second[0].Open[0].Work.Seconds()/4, second[0].Arriving, 0.02)
	require.Zero(t, o.Workloads([]string{"m"}, now.Add(time.Minute))[0].Arriving, "they have stopped")
	require.WithinRange(t, second[0].Open[0].Due, now.Add(defaultRunDeadline-time.Second), now.Add(defaultRunDeadline+time.Minute))
}
