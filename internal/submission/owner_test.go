package submission

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
)

func TestSubmissionIsListedOnceAndWhole(t *testing.T) {
	w := newWorld(3)
	s := w.service()
	s.StartOwner(w.owner(t, "n"))
	submission := submissionOf("a", 4, 3, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	requireWhole(t, w, submission, allResults(t, s, "a", 12))
}

// TestBrokenRunsGoOnAfterTheLastEvent: no event is missing or stands twice however
// often runs break.
func TestBrokenRunsGoOnAfterTheLastEvent(t *testing.T) {
	w := newWorld(4)
	w.breakAfter = 1
	s := w.service()
	s.StartOwner(w.owner(t, "n"))
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	requireWhole(t, w, submission, allResults(t, s, "a", 2))
}

func TestSameSubmissionIsAcceptedOnce(t *testing.T) {
	w := newWorld(3)
	one, two := w.service(), w.service()
	one.StartOwner(w.owner(t, "n"))
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, one.Accept(context.Background(), testUnit, submission))
	require.NoError(t, two.Accept(context.Background(), testUnit, submissionOf("a", 1, 2, 1)))
	requireWhole(t, w, submission, allResults(t, two, "a", 2))
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.runs {
		require.Equal(t, 1, n, id)
	}
}

// TestLostAnswersListOnce: writes of results take effect without an answer, or
// late; each result stands at one position all the same.
func TestLostAnswersListOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(3)
		s := w.service()
		o := w.owner(t, "n")
		s.StartOwner(o)
		submission := submissionOf("a", 3, 2, 1)
		require.NoError(r, s.Accept(context.Background(), testUnit, submission))
		for _, f := range rapid.SliceOfN(rapid.SampledFrom([]memory.Faults{{LoseAnswers: true}, {Late: true}, {Down: true}, {}}), 1, 4).Draw(r, "faults") {
			w.store.SetFaults(f)
			o.Poke()
			w.store.ApplyLate()
		}
		w.store.SetFaults(memory.Faults{})
		w.store.ApplyLate()
		requireWhole(t, w, submission, allResults(t, s, "a", 6))
		w.store.ApplyLate()
		requireWhole(t, w, submission, allResults(t, s, "a", 6))
		o.Stop()
	})
}

// TestSuccessorListsTheRest: a new owner finds what is listed and runs the rest;
// the old one, which still believes to own the unit, lists nothing any more.
func TestSuccessorListsTheRest(t *testing.T) {
	w := newWorld(3)
	w.hold = make(chan struct{})
	first := w.service()
	old := w.owner(t, "n1")
	first.StartOwner(old)
	submission := submissionOf("a", 3, 2, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	second := w.service()
	second.StartOwner(w.owner(t, "n2"))
	_, err := second.find(context.Background(), "a")
	require.NoError(t, err)
	close(w.hold)
	requireWhole(t, w, submission, allResults(t, second, "a", 6))
	_, results, err := w.service().Read(context.Background(), "a", 0, 0)
	require.NoError(t, err)
	require.Len(t, results, 6)
}

// TestDeposedOwnerHidesNothing: an owner that does not know of its successor does
// not say that there is no result where that one listed some.
func TestDeposedOwnerHidesNothing(t *testing.T) {
	w := newWorld(3)
	w.hold = make(chan struct{})
	first := w.service()
	first.StartOwner(w.owner(t, "n1"))
	require.NoError(t, first.Accept(context.Background(), testUnit, submissionOf("a", 3, 2, 1)))
	second := w.service()
	second.StartOwner(w.owner(t, "n2"))
	_, err := second.find(context.Background(), "a")
	require.NoError(t, err)
	close(w.hold)
	allResults(t, second, "a", 6)
	w.unsure = true
	_, results, err := first.Read(context.Background(), "a", 0, 0)
	require.NoError(t, err)
	require.Len(t, results, 6)
}

// TestLateAnnouncementHidesNothing: the word of a submission reaches a new owner
// after another one listed its results.
func TestLateAnnouncementHidesNothing(t *testing.T) {
	w := newWorld(3)
	first := w.service()
	first.StartOwner(w.owner(t, "n1"))
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	allResults(t, first, "a", 2)
	second := w.service()
	owner := w.owner(t, "n2")
	second.StartOwner(owner)
	h, err := second.find(context.Background(), "a")
	require.NoError(t, err)
	second.openNew(owner, submission, h)
	require.Eventually(t, func() bool { return owner.Known("a") }, patience, pause)
	_, results, err := second.Read(context.Background(), "a", 0, 0)
	require.NoError(t, err)
	require.Len(t, results, 2)
}

// TestNextOwnerGoesOnWithTheTexts that a leaving one hands over: no event is
// generated again, and the texts are whole.
func TestNextOwnerGoesOnWithTheTexts(t *testing.T) {
	w := newWorld(2)
	w.breakAfter = 1
	first := w.service()
	old := w.owner(t, "n1")
	old.options.ScoreSlots = func() int { return 0 }
	first.StartOwner(old)
	submission := submissionOf("a", 1, 1, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	require.Eventually(t, func() bool {
		texts := old.Texts().GetTexts()
		return len(texts) == 1 && len(texts[0].GetEvents()) >= 2
	}, patience, pause)
	first.StopOwner(testUnit)
	texts := first.TextsOf(testUnit)
	require.Len(t, texts.GetTexts(), 1)
	w.mu.Lock()
	w.breakAfter, w.runs = 0, map[string]int{}
	w.mu.Unlock()
	second := w.service()
	next := w.owner(t, "n2")
	next.Seed(texts)
	second.StartOwner(next)
	_, err := second.find(context.Background(), "a")
	require.NoError(t, err)
	requireWhole(t, w, submission, allResults(t, second, "a", 1))
}

// TestEndStartsNothingMore: after its end no item of a submission begins a run.
func TestEndStartsNothingMore(t *testing.T) {
	w := newWorld(1)
	w.hold = make(chan struct{})
	s := w.service()
	o := w.owner(t, "n")
	s.StartOwner(o)
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 3, 4, 1)))
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.begun) == 4 }, patience, pause)
	require.NoError(t, s.End(context.Background(), "a"))
	require.NoError(t, s.End(context.Background(), "a"), "an end may be repeated")
	close(w.hold)
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.written) == 4 }, patience, pause)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Len(t, w.begun, 4)
	require.Empty(t, w.scored, "nothing is scored for an ended submission")
}

// TestCarriedItemsKeepTheirText: items that come back go on with the text they
// have when its versions fit, and start again when they do not.
func TestCarriedItemsKeepTheirText(t *testing.T) {
	for _, row := range []struct {
		name       string
		minVersion int64
		runs       int
	}{{"versions fit", 1, 1}, {"versions are too old", 2, 2}} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(2)
			s := w.service()
			o := w.owner(t, "n")
			o.options.ScoreSlots = func() int { return 0 }
			s.StartOwner(o)
			w.mu.Lock()
			w.fails["i0-1"] = call.ErrFull.New("full")
			w.mu.Unlock()
			require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 2, 1)))
			require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.written["i0-0"] == 1 }, patience, pause)
			require.NoError(t, s.End(context.Background(), "a"))
			w.mu.Lock()
			delete(w.fails, "i0-1")
			for id := range w.version {
				w.version[id] = 2
			}
			w.mu.Unlock()
			for _, e := range w.directory.Of("s") {
				e.Live.SawVersion("m", 2)
			}
			next := submissionOf("b", 1, 2, row.minVersion)
			require.NoError(t, s.Accept(context.Background(), testUnit, next))
			results := allResults(t, s, "b", 2)
			requireWhole(t, w, next, results)
			w.mu.Lock()
			defer w.mu.Unlock()
			require.Equal(t, row.runs, w.runs["i0-0"])
			for _, result := range results {
				require.GreaterOrEqual(t, result.GetVersions()[0], row.minVersion)
			}
		})
	}
}

// TestOldWeightsAreNotUsed: an engine under the bound gets no run.
func TestOldWeightsAreNotUsed(t *testing.T) {
	w := newWorld(3)
	w.version["e2"] = 2
	for _, e := range w.directory.Of("s") {
		e.Live.SawVersion("m", w.version[e.ID])
	}
	s := w.service()
	s.StartOwner(w.owner(t, "n"))
	submission := submissionOf("a", 2, 2, 2)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	for _, result := range allResults(t, s, "a", 4) {
		require.Equal(t, []int64{2}, result.GetVersions())
	}
}

// TestItemsAreGivenUpOnlyWhenTheyMay: after a rejection at once, after failures
// at the route's number of attempts.
func TestItemsAreGivenUpOnlyWhenTheyMay(t *testing.T) {
	w := newWorld(3)
	w.fails["i0-0"] = call.ErrRejected.New("status 422")
	w.fails["i0-1"] = call.ErrFailed.New("status 500")
	s := w.service()
	s.StartOwner(w.owner(t, "n"))
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 3, 1)))
	results := allResults(t, s, "a", 3)
	abandoned := map[string]bool{}
	for _, result := range results {
		abandoned[result.GetId()] = result.GetAbandoned()
	}
	require.Equal(t, map[string]bool{"i0-0": true, "i0-1": true, "i0-2": false}, abandoned)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Equal(t, 1, w.runs["i0-0"])
	require.Equal(t, 3, w.runs["i0-1"])
}

// TestItemThatBreaksItsEnginesRests: runs that break without an event are not
// repeated at once for ever.
func TestItemThatBreaksItsEnginesRests(t *testing.T) {
	w := newWorld(6)
	w.fails["i0-0"] = call.ErrBroken.New("reset")
	s := w.service()
	s.StartOwner(w.owner(t, "n"))
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 2, 1, 1)))
	allResults(t, s, "a", 1)
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.runs["i0-0"] == breaksQuiet }, patience, pause)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Equal(t, breaksQuiet, w.runs["i0-0"])
}

func TestUnknownSubmissionIsNotFoundOnlyByTheStoresWord(t *testing.T) {
	w := newWorld(1)
	s := w.service()
	_, _, err := s.Read(context.Background(), "none", 0, 0)
	require.True(t, call.Is(err, ErrNotFound))
	w.store.SetFaults(memory.Faults{Down: true})
	_, _, err = s.Read(context.Background(), "none", 0, 0)
	require.True(t, call.Is(err, ErrUnavailable))
	require.True(t, call.Is(s.Accept(context.Background(), testUnit, submissionOf("a", 1, 1, 1)), ErrUnavailable))
	w.store.SetFaults(memory.Faults{LoseAnswers: true, Late: true})
	require.True(t, call.Is(s.Accept(context.Background(), testUnit, submissionOf("b", 1, 1, 1)), ErrUnknown))
}

func TestBodiesComeBack(t *testing.T) {
	w := newWorld(1)
	s := w.service()
	submission := submissionOf("a", 1, 1, 1)
	submission.Items[0].Body = []byte{0, 1, 2}
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	body, err := w.service().Body(context.Background(), "a", "i0-0")
	require.NoError(t, err)
	require.Equal(t, []byte{0, 1, 2}, body)
	_, err = s.Body(context.Background(), "a", "other")
	require.True(t, call.Is(err, ErrNotFound))
}

// TestEndedSubmissionsAreRemoved once nobody may read them any more, by the owner
// that ran them or by a later one, and also when the store refuses at first.
func TestEndedSubmissionsAreRemoved(t *testing.T) {
	for _, row := range []struct {
		name    string
		later   bool
		refused bool
	}{{"by the owner that ran it", false, false}, {"by a later owner", true, false}, {"when the store answers again", false, true}} {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(3)
			s := w.service()
			o := w.owner(t, "n")
			s.StartOwner(o)
			require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 3, 2, 1)))
			allResults(t, s, "a", 6)
			require.NoError(t, s.End(context.Background(), "a"))
			if row.later {
				o = w.owner(t, "later")
				s.StartOwner(o)
				require.Eventually(t, func() bool { o.mu.Lock(); defer o.mu.Unlock(); return len(o.leftovers) == 1 }, patience, pause)
			}
			w.store.SetFaults(memory.Faults{Down: row.refused})
			pass := func() {
				o.mu.Lock()
				defer o.mu.Unlock()
				if s := o.submissions["a"]; s != nil {
					s.endedAt = s.endedAt.Add(-2 * o.options.Status)
				}
				for id := range o.leftovers {
					o.leftovers[id] = time.Now().Add(-time.Second)
				}
			}
			pass()
			if row.refused {
				require.Eventually(t, func() bool { o.mu.Lock(); defer o.mu.Unlock(); return len(o.leftovers) == 1 }, patience, pause)
				w.store.SetFaults(memory.Faults{})
				pass()
			}
			require.Eventually(t, func() bool {
				_, err := w.store.Get(context.Background(), headKey("a"))
				return call.Is(err, metastore.ErrNotFound)
			}, patience, pause)
			for _, prefix := range []string{recordPrefix, resultPrefix} {
				page, err := w.store.Range(context.Background(), prefix, "")
				require.NoError(t, err)
				require.Empty(t, page.Items)
			}
		})
	}
}

func TestLargeSubmissionIsSplit(t *testing.T) {
	w := newWorld(1)
	s := w.service()
	submission := submissionOf("a", 1, 1, 1)
	submission.Items[0].Body = slices.Repeat([]byte{7}, 2*partBytes)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	body, err := w.service().Body(context.Background(), "a", "i0-0")
	require.NoError(t, err)
	require.Equal(t, submission.Items[0].Body, body)
	submission = submissionOf("b", 1, 1, 1)
	submission.Items[0].Body = slices.Repeat([]byte{7}, (maxParts+1)*partBytes)
	require.True(t, call.Is(s.Accept(context.Background(), testUnit, submission), ErrTooLarge))
}

func TestMalformedSubmissionSaysWhatIsWrong(t *testing.T) {
	good := submissionOf("a", 1, 2, 1)
	require.NoError(t, Check(good))
	twice := submissionOf("a", 1, 2, 1)
	twice.Items[1].Id = twice.Items[0].Id
	require.ErrorContains(t, Check(twice), "stands twice")
	require.ErrorContains(t, Check(submissionOf("", 1, 1, 1)), "the id must have")
	require.ErrorContains(t, Check(submissionOf("a/b", 1, 1, 1)), "letters, digits")
	require.ErrorContains(t, Check(submissionOf("a", 0, 0, 1)), "at least one")
	path := submissionOf("a", 1, 1, 1)
	path.Items[0].Path = "x"
	require.ErrorContains(t, Check(path), "begin with a slash")
}

// TestChoicePrefersFastEngines plays a slow engine among fast ones: it gets runs
// only when the others are full.
func TestChoicePrefersFastEngines(t *testing.T) {
	w := newWorld(3)
	now := noonNow()
	for _, e := range w.directory.Of("s") {
		pace := 30
		if e.ID == "e0" {
			pace = 110
		}
		e.Live.ObservePace(millis(pace), now)
	}
	engines := newEngines(w.directory.Of("s"), "z", now)
	count := map[string]int{}
	for range 8 {
		e, ok := engines.choose(need{model: "m", minVersion: 1})
		require.True(t, ok)
		count[e.ID]++
	}
	require.Equal(t, map[string]int{"e1": 4, "e2": 4}, count)
	e, ok := engines.choose(need{model: "m", minVersion: 1})
	require.True(t, ok)
	require.Equal(t, "e0", e.ID)
	require.True(t, engines.slow(e))
	_, ok = engines.better(&fleet.Endpoint{ID: "e0"}, need{model: "m", minVersion: 1})
	require.False(t, ok, "a full engine is not worth a move")
}
