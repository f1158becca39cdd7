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

func checkpointsOf(t require.TestingT, w *world) int {
	found, _, err := metastore.ListAll(context.Background(), w.store, checkpointKeys(testUnit))
	require.NoError(t, err)
	return len(found)
}

// TestNextOwnerGoesOnWithSavedTexts: the owner dies while a long text grows, and
// nobody is left to ask. The next one goes on after the last saved event, and the
// store holds no saved text once all is listed.
func TestNextOwnerGoesOnWithSavedTexts(t *testing.T) {
	const before = 2 // events at the first owner's death
	w := newWorld(1)
	w.hold = make(chan struct{})
	first := w.service()
	owner := w.owner(t, "first")
	owner.Restore()
	first.StartOwner(owner)
	submission := submissionOf("a", 1, 1, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	for range before {
		w.hold <- struct{}{}
	}
	require.Eventually(t, func() bool { return checkpointsOf(t, w) > 0 }, patience, pause)
	owner.Stop()

	w.mu.Lock()
	hold := w.hold
	w.hold = nil
	w.mu.Unlock()
	close(hold)
	second := w.service()
	next := w.owner(t, "second")
	next.Restore()
	second.StartOwner(next)
	item, err := w.store.Get(context.Background(), headKey("a"))
	require.NoError(t, err)
	second.Changed(metastore.Event{Item: item})
	requireWhole(t, w, submission, allResults(t, second, "a", 1))
	w.mu.Lock()
	for _, after := range w.after["i0-0"][1:] {
		require.Equal(t, before, after, "a run began anew")
	}
	w.mu.Unlock()
	require.NoError(t, second.End(context.Background(), "a"))
	require.Eventually(t, func() bool { return checkpointsOf(t, w) == 0 }, patience, pause)
}

// TestSavedTextsAreNeverMixed plays an owner whose texts grow, are dropped and
// begun anew, whose writes are confirmed, lost, applied late or refused. What the
// next owner reads of an item is a beginning of one of its texts, and of the
// newest one whenever the last write was confirmed.
func TestSavedTextsAreNeverMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(0)
		unit := w.takeUnit(t, "first")
		o := w.ownerOf(unit)
		defer o.Stop()
		s := &open{id: "a", record: &recordpb.Submission{Id: "a"}, left: map[string]int{}}
		ids := []string{"x", "y"}
		now := time.Unix(1_700_000_000, 0)
		for _, id := range ids {
			o.items[id] = &item{record: &recordpb.Item{Id: id}, of: s, begunAt: now}
		}
		now = now.Add(checkpointAge)
		confirmed := map[string][]string{} // by item, at the last confirmed write
		sure := false
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			id := rapid.SampledFrom(ids).Draw(t, "item")
			i := o.items[id]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				i.text.add(fmt.Sprintf("%s/%d/%d", id, i.restarts, len(i.text.events)), 1)
			case 3:
				o.restart(i)
			case 4:
				i.of, i.listed = nil, false // its submission ended
			case 5:
				if i.of == nil {
					i.of, i.text.saved = s, 0 // another brought it back
				}
			case 6:
				w.store.ApplyLate()
			default:
				faults := rapid.SampledFrom([]memory.Faults{{}, {}, {}, {LoseAnswers: true}, {Late: true}, {Down: true}}).Draw(t, "faults")
				c, due := o.nextCheckpoint(now)
				if !due {
					continue
				}
				w.store.SetFaults(faults)
				err := o.writeCheckpoint(c)
				w.store.SetFaults(memory.Faults{})
				o.wroteCheckpoint(c, err)
				sure = err == nil
				for _, p := range c.parts {
					if sure {
						confirmed[p.item.record.GetId()] = p.item.text.events[:p.until]
					}
				}
			}
		}
		w.store.ApplyLate()
		next := w.ownerOf(w.takeUnit(t, "second"))
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
				require.Equal(t, n, number, "an event is missing or stands twice: %v", events)
				require.Equal(t, events[0], fmt.Sprintf("%s/%d/0", id, restarts), "two texts are mixed: %v", events)
			}
			if sure && o.items[id].of != nil && len(confirmed[id]) > 0 && o.items[id].text.saved > 0 {
				require.Equal(t, confirmed[id], events)
			}
		}
	})
}

// TestSavesArriveOnlyFromTheOwner: a write of an owner that lost the unit changes
// nothing.
func TestSavesArriveOnlyFromTheOwner(t *testing.T) {
	w := newWorld(0)
	o := w.owner(t, "first")
	o.items["x"] = &item{record: &recordpb.Item{Id: "x"}, of: &open{}, text: text{events: []string{"e"}}, begunAt: time.Unix(1, 0)}
	c, due := o.nextCheckpoint(time.Unix(100, 0))
	require.True(t, due)
	w.takeUnit(t, "second")
	require.Error(t, o.writeCheckpoint(c))
	require.Zero(t, checkpointsOf(t, w))
}

// TestShortTextsAreNotSaved: most items are listed before a write would pay.
func TestShortTextsAreNotSaved(t *testing.T) {
	w := newWorld(0)
	o := w.owner(t, "n")
	now := time.Unix(1_700_000_000, 0)
	o.items["x"] = &item{record: &recordpb.Item{Id: "x"}, of: &open{}, text: text{events: []string{"e"}}, begunAt: now}
	_, due := o.nextCheckpoint(now.Add(checkpointAge - 1))
	require.False(t, due)
	c, due := o.nextCheckpoint(now.Add(checkpointAge))
	require.True(t, due)
	o.wroteCheckpoint(c, nil)
	_, due = o.nextCheckpoint(now.Add(checkpointAge + checkpointEvery))
	require.False(t, due, "nothing grew since")
}

// TestJoin: a part goes on where the text ends or before, and belongs to it.
func TestJoin(t *testing.T) {
	known := text{events: []string{"a", "b", "c"}, base: 7}
	for _, row := range []struct {
		name    string
		skipped int32
		base    int32
		want    []string
	}{
		{"goes on", 3, 7, []string{"a", "b", "c", "d"}},
		{"overlaps, as a write that was sent again", 2, 7, []string{"a", "b", "d"}},
		{"what is between is missing", 4, 7, nil},
		{"another text of the item", 1, 8, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			joined, ok := known.join(&recordpb.Text{Skipped: row.skipped, Base: row.base, Events: []string{"d"}})
			require.Equal(t, row.want != nil, ok)
			require.Equal(t, row.want, joined.events)
			require.Equal(t, []string{"a", "b", "c"}, known.events)
		})
	}
}

// TestResume: a saved text replaces a shorter one that a new owner has begun, and
// what the run of that brings yet is not heard.
func TestResume(t *testing.T) {
	w := newWorld(0)
	s := &open{id: "a", record: &recordpb.Submission{Id: "a", MinVersion: 2}, left: map[string]int{}}
	saved := text{events: []string{"1", "2", "3"}, versions: []int64{2}}
	for _, row := range []struct {
		name string
		item *item
		text text
		want int // events afterwards
	}{
		{"not open yet", nil, saved, 3},
		{"begun anew and shorter", &item{of: s, text: text{events: []string{"1"}}}, saved, 3},
		{"longer already", &item{of: s, text: text{events: []string{"1", "2", "3", "4"}}}, saved, 4},
		{"whole already", &item{of: s, state: scoring, text: text{events: []string{"1"}, complete: true}}, saved, 1},
		{"of weights that are too old", &item{of: s, text: text{events: []string{"1"}}}, text{events: saved.events, versions: []int64{1, 2}}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			o := w.owner(t, "n")
			var r *run
			if i := row.item; i != nil {
				i.record = &recordpb.Item{Id: "x", Reward: &recordpb.Reward{Id: "r"}}
				o.items["x"] = i
				if i.state == waiting {
					r = &run{cancel: func() {}}
					i.run, i.state = r, running
				}
			}
			resumed := o.resume("x", row.text, noonNow())
			i := o.items["x"]
			require.Len(t, i.text.events, row.want)
			if resumed && r != nil {
				require.Equal(t, waiting, i.state)
				require.Error(t, o.received(i, r, "late", 2))
				o.ended(i, r, nil)
				require.False(t, i.text.complete)
			}
		})
	}
	whole := saved
	whole.complete = true
	o := w.owner(t, "n")
	o.items["x"] = &item{record: &recordpb.Item{Id: "x", Reward: &recordpb.Reward{Id: "r"}}, of: s}
	require.True(t, o.resume("x", whole, noonNow()))
	require.Equal(t, scoring, o.items["x"].state, "a whole text needs its score only")
}

// TestDroppedTextIsNotCompletedByItsRun: a run ends well at the moment at which
// its text is dropped, since its weights are too old for a later submission.
func TestDroppedTextIsNotCompletedByItsRun(t *testing.T) {
	o := newWorld(0).owner(t, "n")
	r := &run{cancel: func() {}}
	i := &item{record: &recordpb.Item{Id: "x"}, run: r, state: running, text: text{events: []string{"1"}, versions: []int64{1}}}
	o.items["x"] = i
	o.restart(i)
	o.ended(i, r, nil)
	require.False(t, i.text.complete)
	require.Equal(t, waiting, i.state)
}

// TestLargePartsAreLeftOut: a text that grew too large for one write keeps no other
// from being saved.
func TestLargePartsAreLeftOut(t *testing.T) {
	o := newWorld(0).owner(t, "n")
	now := time.Unix(1_700_000_000, 0)
	of := &open{}
	events := func(n int) []string { return slices.Repeat([]string{strings.Repeat("x", 1<<10)}, n) }
	o.items["large"] = &item{record: &recordpb.Item{Id: "large"}, of: of, text: text{events: events(partMost>>10 + 1)}, begunAt: now}
	o.items["long"] = &item{record: &recordpb.Item{Id: "long"}, of: of, text: text{events: events(checkpointBytes >> 10)}, begunAt: now}
	o.items["next"] = &item{record: &recordpb.Item{Id: "next"}, of: of, text: text{events: events(1)}, begunAt: now}
	saved := func() string {
		c, due := o.nextCheckpoint(now.Add(checkpointAge))
		require.True(t, due)
		require.Len(t, c.parts, 1)
		o.wroteCheckpoint(c, nil)
		return c.parts[0].text.GetItemId()
	}
	require.Equal(t, "long", saved())
	require.Equal(t, "next", saved(), "what did not fit comes next")
	_, due := o.nextCheckpoint(now.Add(checkpointAge))
	require.False(t, due)
}
