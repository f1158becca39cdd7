package submission

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

func checkpointsOf(t require.TestingT, f *fixture) int {
	found, _, err := metastore.ListAll(context.Background(), f.store, checkpointKeys(testUnit))
	require.NoError(t, err)
	return len(found)
}

// TestNextOwnerResumesCheckpointedTexts stops an owner while it generates a long text,
// without a handover. The next owner must resume after the last saved event, and no
// checkpoint may remain in the store once all results are listed.
func TestNextOwnerResumesCheckpointedTexts(t *testing.T) {
	const before = 2 // events generated before the first owner stops
	f := newFixture(1)
	f.gate = make(chan struct{})
	first := f.service()
	owner := f.owner(t, "first")
	owner.Restore()
	first.StartOwner(owner)
	submission := submissionOf("a", 1, 1, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	for range before {
		f.gate <- struct{}{}
	}
	require.Eventually(t, func() bool { return checkpointsOf(t, f) > 0 }, testTimeout, pause)
	owner.Stop()

	f.mu.Lock()
	gate := f.gate
	f.gate = nil
	f.mu.Unlock()
	close(gate)
	second := f.service()
	next := f.owner(t, "second")
	next.Restore()
	second.StartOwner(next)
	item, err := f.store.Get(context.Background(), headKey("a"))
	require.NoError(t, err)
	second.Changed(metastore.Event{Item: item})
	requireComplete(t, f, submission, allResults(t, second, "a", 1))
	f.mu.Lock()
	for _, after := range f.after["i0-0"][1:] {
		require.Equal(t, before, after, "a run restarted from the beginning")
	}
	f.mu.Unlock()
	require.NoError(t, second.End(context.Background(), "a"))
	require.Eventually(t, func() bool { return checkpointsOf(t, f) == 0 }, testTimeout, pause)
}

// TestCheckpointsOfRestartedTextsAreNotMixed runs random sequences in which texts grow
// and are restarted while checkpoint writes succeed, lose their responses, take effect
// late or fail. The next owner must restore a prefix of one text of each item, and after
// a confirmed last write exactly the newest saved text.
func TestCheckpointsOfRestartedTextsAreNotMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(0)
		unit := f.acquireUnit(t, "first")
		o := f.ownerOf(unit)
		defer o.Stop()
		s := &ownedSubmission{id: "a", record: &recordpb.Submission{Id: "a"}, unfinished: map[string]int{}}
		ids := []string{"x", "y"}
		now := time.Unix(1_700_000_000, 0)
		for _, id := range ids {
			o.items[id] = &item{record: &recordpb.Item{Id: id}, submission: s, firstRunAt: now}
		}
		now = now.Add(checkpointMinAge)
		confirmed := map[string][]string{} // saved events by item, as of the last confirmed write
		lastConfirmed := false
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			id := rapid.SampledFrom(ids).Draw(t, "item")
			i := o.items[id]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				i.text.add(fmt.Sprintf("%s/%d/%d", id, i.restarts, len(i.text.events)), 1)
			case 3:
				o.restart(i)
			case 4:
				i.submission, i.listed = nil, false // its submission ended
			case 5:
				if i.submission == nil {
					i.submission, i.text.saved = s, 0 // another submission contains it
				}
			case 6:
				f.store.ApplyDelayed()
			default:
				faults := rapid.SampledFrom([]memory.Faults{{}, {}, {}, {LoseResponses: true}, {DelayCommits: true}, {Down: true}}).Draw(t, "faults")
				c, due := o.nextCheckpoint(now)
				if !due {
					continue
				}
				f.store.SetFaults(faults)
				err := o.writeCheckpoint(c)
				f.store.SetFaults(memory.Faults{})
				o.checkpointWritten(c, err)
				lastConfirmed = err == nil
				for _, p := range c.parts {
					if lastConfirmed {
						confirmed[p.item.record.GetId()] = p.item.text.events[:p.until]
					}
				}
			}
		}
		f.store.ApplyDelayed()
		next := f.ownerOf(f.acquireUnit(t, "second"))
		defer next.Stop()
		next.Restore()
		for _, id := range ids {
			var events []string
			if i := next.items[id]; i != nil {
				events = i.text.events
				require.Equal(t, len(events), i.text.saved)
			}
			for n, data := range events {
				var restarts, number int
				_, err := fmt.Sscanf(data, id+"/%d/%d", &restarts, &number)
				require.NoError(t, err)
				require.Equal(t, n, number, "an event is missing or duplicated: %v", events)
				require.Equal(t, events[0], fmt.Sprintf("%s/%d/0", id, restarts), "events of two texts are mixed: %v", events)
			}
			if lastConfirmed && o.items[id].submission != nil && len(confirmed[id]) > 0 && o.items[id].text.saved > 0 {
				require.Equal(t, confirmed[id], events)
			}
		}
	})
}

// TestPreviousOwnerCannotWriteCheckpoints checks that a checkpoint write of an owner
// that lost the unit has no effect.
func TestPreviousOwnerCannotWriteCheckpoints(t *testing.T) {
	f := newFixture(0)
	o := f.owner(t, "first")
	o.items["x"] = &item{record: &recordpb.Item{Id: "x"}, submission: &ownedSubmission{}, text: text{events: []string{"e"}}, firstRunAt: time.Unix(1, 0)}
	c, due := o.nextCheckpoint(time.Unix(100, 0))
	require.True(t, due)
	f.acquireUnit(t, "second")
	require.Error(t, o.writeCheckpoint(c))
	require.Zero(t, checkpointsOf(t, f))
}

// TestRecentlyStartedItemsAreNotCheckpointed checks that an item is saved only after
// checkpointMinAge, since most items are listed before that.
func TestRecentlyStartedItemsAreNotCheckpointed(t *testing.T) {
	f := newFixture(0)
	o := f.owner(t, "n")
	now := time.Unix(1_700_000_000, 0)
	o.items["x"] = &item{record: &recordpb.Item{Id: "x"}, submission: &ownedSubmission{}, text: text{events: []string{"e"}}, firstRunAt: now}
	_, due := o.nextCheckpoint(now.Add(checkpointMinAge - 1))
	require.False(t, due)
	c, due := o.nextCheckpoint(now.Add(checkpointMinAge))
	require.True(t, due)
	o.checkpointWritten(c, nil)
	_, due = o.nextCheckpoint(now.Add(checkpointMinAge + checkpointInterval))
	require.False(t, due, "no text has new events")
}

// TestJoin checks that a part is joined only to the text that it belongs to, at or
// before that text's end.
func TestJoin(t *testing.T) {
	saved := text{events: []string{"a", "b", "c"}, firstCheckpoint: 7}
	for _, row := range []struct {
		name            string
		skipped         int32
		firstCheckpoint int32
		want            []string
	}{
		{"continues the text", 3, 7, []string{"a", "b", "c", "d"}},
		{"overlaps, as after a resent write", 2, 7, []string{"a", "b", "d"}},
		{"events in between are missing", 4, 7, nil},
		{"another text of the item", 1, 8, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			joined, ok := saved.join(&recordpb.Text{Skipped: row.skipped, Base: row.firstCheckpoint, Events: []string{"d"}})
			require.Equal(t, row.want != nil, ok)
			require.Equal(t, row.want, joined.events)
			require.Equal(t, []string{"a", "b", "c"}, saved.events)
		})
	}
}

// TestResume checks that a saved text replaces a shorter one that a new owner started,
// and that later events of the replaced text's run are ignored.
func TestResume(t *testing.T) {
	f := newFixture(0)
	s := &ownedSubmission{id: "a", record: &recordpb.Submission{Id: "a", MinVersion: 2}, unfinished: map[string]int{}}
	saved := text{events: []string{"1", "2", "3"}, versions: []int64{2}}
	for _, row := range []struct {
		name string
		item *item
		text text
		want int // events afterwards
	}{
		{"submission not open yet", nil, saved, 3},
		{"restarted and shorter", &item{submission: s, text: text{events: []string{"1"}}}, saved, 3},
		{"already longer", &item{submission: s, text: text{events: []string{"1", "2", "3", "4"}}}, saved, 4},
		{"already complete", &item{submission: s, state: scoring, text: text{events: []string{"1"}, complete: true}}, saved, 1},
		{"weight version too old", &item{submission: s, text: text{events: []string{"1"}}}, text{events: saved.events, versions: []int64{1, 2}}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			o := f.owner(t, "n")
			var r *run
			if i := row.item; i != nil {
				i.record = &recordpb.Item{Id: "x", Reward: &recordpb.Reward{Id: "r"}}
				o.items["x"] = i
				if i.state == waiting {
					r = &run{cancel: func() {}}
					i.run, i.state = r, running
				}
			}
			resumed := o.resume("x", row.text, testNow())
			i := o.items["x"]
			require.Len(t, i.text.events, row.want)
			if resumed && r != nil {
				require.Equal(t, waiting, i.state)
				require.Error(t, o.addEvent(i, r, "late", 2))
				o.runEnded(i, r, nil)
				require.False(t, i.text.complete)
			}
		})
	}
	completeText := saved
	completeText.complete = true
	o := f.owner(t, "n")
	o.items["x"] = &item{record: &recordpb.Item{Id: "x", Reward: &recordpb.Reward{Id: "r"}}, submission: s}
	require.True(t, o.resume("x", completeText, testNow()))
	require.Equal(t, scoring, o.items["x"].state, "a complete text needs only its score")
}

// TestDiscardedTextIsNotCompletedByItsRun covers a run that succeeds just after its text
// was discarded because its weights are too old for a later submission.
func TestDiscardedTextIsNotCompletedByItsRun(t *testing.T) {
	o := newFixture(0).owner(t, "n")
	r := &run{cancel: func() {}}
	i := &item{record: &recordpb.Item{Id: "x"}, run: r, state: running, text: text{events: []string{"1"}, versions: []int64{1}}}
	o.items["x"] = i
	o.restart(i)
	o.runEnded(i, r, nil)
	require.False(t, i.text.complete)
	require.Equal(t, waiting, i.state)
}

// TestOversizedPartsAreSkipped checks that a text that is too large for one write does
// not prevent other texts from being saved.
func TestOversizedPartsAreSkipped(t *testing.T) {
	o := newFixture(0).owner(t, "n")
	now := time.Unix(1_700_000_000, 0)
	submission := &ownedSubmission{}
	events := func(n int) []string { return slices.Repeat([]string{strings.Repeat("x", 1<<10)}, n) }
	o.items["large"] = &item{record: &recordpb.Item{Id: "large"}, submission: submission, text: text{events: events(maxPartBytes>>10 + 1)}, firstRunAt: now}
	o.items["long"] = &item{record: &recordpb.Item{Id: "long"}, submission: submission, text: text{events: events(checkpointBytes >> 10)}, firstRunAt: now}
	o.items["next"] = &item{record: &recordpb.Item{Id: "next"}, submission: submission, text: text{events: events(1)}, firstRunAt: now}
	saved := func() string {
		c, due := o.nextCheckpoint(now.Add(checkpointMinAge))
		require.True(t, due)
		require.Len(t, c.parts, 1)
		o.checkpointWritten(c, nil)
		return c.parts[0].text.GetItemId()
	}
	require.Equal(t, "long", saved())
	require.Equal(t, "next", saved(), "the text that did not fit is in the next checkpoint")
	_, due := o.nextCheckpoint(now.Add(checkpointMinAge))
	require.False(t, due)
}
