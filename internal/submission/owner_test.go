package submission

import (
	"context"
	"math"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
	"github.com/comfreyfront/comfreyfront/internal/textlimit"
)

func TestEachItemIsListedOnceWithItsFullText(t *testing.T) {
	f := newFixture(3)
	s := f.service()
	s.StartOwner(f.owner(t, "n"))
	submission := submissionOf("a", 4, 3, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	requireComplete(t, f, submission, allResults(t, s, "a", 12))
}

// TestBrokenRunsResumeAfterLastEvent checks that no event is missing or duplicated when
// every run breaks after one event.
func TestBrokenRunsResumeAfterLastEvent(t *testing.T) {
	f := newFixture(4)
	f.breakAfter = 1
	s := f.service()
	s.StartOwner(f.owner(t, "n"))
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	requireComplete(t, f, submission, allResults(t, s, "a", 2))
}

func TestSameSubmissionIsAcceptedOnce(t *testing.T) {
	f := newFixture(3)
	first, second := f.service(), f.service()
	first.StartOwner(f.owner(t, "n"))
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	require.NoError(t, second.Accept(context.Background(), testUnit, submissionOf("a", 1, 2, 1)))
	requireComplete(t, f, submission, allResults(t, second, "a", 2))
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.runs {
		require.Equal(t, 1, n, id)
	}
}

// TestUnconfirmedWritesListResultsOnce checks that each result is listed at one position
// when the store loses responses, applies writes late or is down.
func TestUnconfirmedWritesListResultsOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(3)
		s := f.service()
		o := f.owner(t, "n")
		s.StartOwner(o)
		submission := submissionOf("a", 3, 2, 1)
		require.NoError(r, s.Accept(context.Background(), testUnit, submission))
		for _, faults := range rapid.SliceOfN(rapid.SampledFrom([]memory.Faults{{LoseResponses: true}, {DelayCommits: true}, {Down: true}, {}}), 1, 4).Draw(r, "faults") {
			f.store.SetFaults(faults)
			o.Wake()
			f.store.ApplyDelayed()
		}
		f.store.SetFaults(memory.Faults{})
		f.store.ApplyDelayed()
		requireComplete(t, f, submission, allResults(t, s, "a", 6))
		f.store.ApplyDelayed()
		requireComplete(t, f, submission, allResults(t, s, "a", 6))
		o.Stop()
	})
}

// TestNewOwnerListsRemainingResults checks that a new owner finds the listed results and
// runs the other items, while the previous owner, which has not noticed the loss of the
// unit, lists nothing more.
func TestNewOwnerListsRemainingResults(t *testing.T) {
	f := newFixture(3)
	f.gate = make(chan struct{})
	first := f.service()
	previous := f.owner(t, "n1")
	first.StartOwner(previous)
	submission := submissionOf("a", 3, 2, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	second := f.service()
	second.StartOwner(f.owner(t, "n2"))
	_, err := second.findHead(context.Background(), "a")
	require.NoError(t, err)
	close(f.gate)
	requireComplete(t, f, submission, allResults(t, second, "a", 6))
	_, results, err := f.service().Read(context.Background(), "a", 0, 0)
	require.NoError(t, err)
	require.Len(t, results, 6)
}

// TestUnconfirmedOwnerDoesNotHideResults checks that an owner that has not noticed its
// successor does not return an empty result for positions that the successor has listed.
func TestUnconfirmedOwnerDoesNotHideResults(t *testing.T) {
	f := newFixture(3)
	f.gate = make(chan struct{})
	first := f.service()
	first.StartOwner(f.owner(t, "n1"))
	require.NoError(t, first.Accept(context.Background(), testUnit, submissionOf("a", 3, 2, 1)))
	second := f.service()
	second.StartOwner(f.owner(t, "n2"))
	_, err := second.findHead(context.Background(), "a")
	require.NoError(t, err)
	close(f.gate)
	allResults(t, second, "a", 6)
	f.unconfirmed = true
	_, results, err := first.Read(context.Background(), "a", 0, 0)
	require.NoError(t, err)
	require.Len(t, results, 6)
}

// TestLateAnnouncementDoesNotHideResults covers an announcement that reaches a new owner
// after a previous owner listed results of the submission.
func TestLateAnnouncementDoesNotHideResults(t *testing.T) {
	f := newFixture(3)
	first := f.service()
	first.StartOwner(f.owner(t, "n1"))
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	allResults(t, first, "a", 2)
	second := f.service()
	owner := f.owner(t, "n2")
	second.StartOwner(owner)
	h, err := second.findHead(context.Background(), "a")
	require.NoError(t, err)
	second.openAccepted(owner, submission, h)
	require.Eventually(t, func() bool { return owner.HasSubmission("a") }, testTimeout, pause)
	_, results, err := second.Read(context.Background(), "a", 0, 0)
	require.NoError(t, err)
	require.Len(t, results, 2)
}

// TestNextOwnerResumesHandedOverTexts checks that the texts that a leaving owner hands
// over are completed by the next one without generating an event again.
func TestNextOwnerResumesHandedOverTexts(t *testing.T) {
	f := newFixture(2)
	f.breakAfter = 1
	first := f.service()
	previous := f.owner(t, "n1")
	previous.options.ScoreSlots = func() int { return 0 }
	first.StartOwner(previous)
	submission := submissionOf("a", 1, 1, 1)
	require.NoError(t, first.Accept(context.Background(), testUnit, submission))
	require.Eventually(t, func() bool {
		texts := previous.Texts().GetTexts()
		return len(texts) == 1 && len(texts[0].GetEvents()) >= 2
	}, testTimeout, pause)
	first.StopOwner(testUnit)
	texts := first.TextsOf(testUnit)
	require.Len(t, texts.GetTexts(), 1)
	f.mu.Lock()
	f.breakAfter, f.runs = 0, map[string]int{}
	f.mu.Unlock()
	second := f.service()
	next := f.owner(t, "n2")
	next.Seed(texts)
	second.StartOwner(next)
	_, err := second.findHead(context.Background(), "a")
	require.NoError(t, err)
	requireComplete(t, f, submission, allResults(t, second, "a", 1))
}

// TestEndedSubmissionStartsNoRuns checks that no run or scoring call is started after a
// submission ended.
func TestEndedSubmissionStartsNoRuns(t *testing.T) {
	f := newFixture(1)
	f.gate = make(chan struct{})
	s := f.service()
	o := f.owner(t, "n")
	s.StartOwner(o)
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 3, 4, 1)))
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.started) == 4 }, testTimeout, pause)
	require.NoError(t, s.End(context.Background(), "a"))
	require.NoError(t, s.End(context.Background(), "a"), "ending a submission is idempotent")
	close(f.gate)
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.written) == 4 }, testTimeout, pause)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Len(t, f.started, 4)
	require.Empty(t, f.scored, "nothing is scored for an ended submission")
}

// TestEndedSubmissionReportsItsTimes checks that the end of a submission reports where the
// time of its slowest item went, and that a submission without results reports none.
func TestEndedSubmissionReportsItsTimes(t *testing.T) {
	f := newFixture(1)
	s := f.service()
	o := f.owner(t, "n")
	reported := make(chan StepTimes, 2)
	o.options.Ended = func(_, _ string, _ time.Duration, times StepTimes) { reported <- times }
	s.StartOwner(o)
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 2, 1)))
	allResults(t, s, "a", 2)
	require.NoError(t, s.End(context.Background(), "a"))
	times := <-reported
	require.Len(t, times.Parts, int(phaseCount))
	sum := time.Duration(0)
	for _, spent := range times.Parts {
		sum += spent
	}
	require.Equal(t, times.Total, sum)
	require.Positive(t, times.Bound)
	f.gate = make(chan struct{}) // nothing of the next submission is generated
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("b", 1, 1, 1)))
	require.Eventually(t, func() bool { return o.HasSubmission("b") }, testTimeout, pause)
	require.NoError(t, s.End(context.Background(), "b"))
	require.Equal(t, StepTimes{}, <-reported)
}

// TestCarriedItemsKeepTheirText checks that items contained in a later submission resume
// from their current text if its weight versions are allowed, and restart otherwise.
func TestCarriedItemsKeepTheirText(t *testing.T) {
	for _, row := range []struct {
		name       string
		minVersion int64
		runs       int
	}{{"versions allowed", 1, 1}, {"versions too old", 2, 2}} {
		t.Run(row.name, func(t *testing.T) {
			f := newFixture(2)
			s := f.service()
			o := f.owner(t, "n")
			o.options.ScoreSlots = func() int { return 0 }
			s.StartOwner(o)
			f.mu.Lock()
			f.fails["i0-1"] = call.ErrFull.New("full")
			f.mu.Unlock()
			require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 2, 1)))
			require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.written["i0-0"] == 1 }, testTimeout, pause)
			require.NoError(t, s.End(context.Background(), "a"))
			f.mu.Lock()
			delete(f.fails, "i0-1")
			for id := range f.version {
				f.version[id] = 2
			}
			f.mu.Unlock()
			for _, e := range f.directory.Of("s") {
				e.Live.ObserveVersion("m", 2)
			}
			next := submissionOf("b", 1, 2, row.minVersion)
			require.NoError(t, s.Accept(context.Background(), testUnit, next))
			results := allResults(t, s, "b", 2)
			requireComplete(t, f, next, results)
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, row.runs, f.runs["i0-0"])
			for _, result := range results {
				require.GreaterOrEqual(t, result.GetVersions()[0], row.minVersion)
			}
		})
	}
}

// TestCarriedItemsDoNotChangeCallsInFlight checks that a scoring call and a write of results
// that have begun for a submission keep what they began with, although their item is
// carried over to a submission with another scoring call before they run.
func TestCarriedItemsDoNotChangeCallsInFlight(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // goroutines start only when this one waits
	f := newFixture(1)
	o := f.owner(t, "n")
	called := make(chan string, 1)
	o.options.Scorer = func(_ context.Context, reward *recordpb.Reward) (*call.Answer, int, error) {
		called <- reward.GetId()
		return &call.Answer{Status: http.StatusOK, Stamp: "s"}, 3, nil
	}
	first := submissionOf("a", 1, 2, 1)
	o.Open(first, head{Unit: testUnit, Total: 2}, nil, 0)
	second := submissionOf("b", 1, 2, 1)
	for _, record := range second.GetItems() {
		record.Reward = &recordpb.Reward{Id: "other", Host: "h", Path: "/score"}
	}
	o.mu.Lock()
	scored, finished := o.items["i0-0"], o.items["i0-1"]
	scored.text.complete, scored.state = true, scoring
	finished.text.complete = true
	o.complete(finished, "stamp")
	o.startScores(testNow())
	s := o.submissions["a"]
	s.writing = true
	due := slices.Clone(s.ready)
	go o.write(s, due, resultsOf(due), 0)
	for _, i := range []*item{scored, finished} {
		i.submission = nil
		o.attachItem(&ownedSubmission{id: "b", record: second, unfinished: map[string]int{}}, second.GetItems()[0])
		i.record, i.result = second.GetItems()[0], nil
	}
	o.mu.Unlock()
	require.Equal(t, "score-i0-0", <-called)
	_, listed, _ := o.Read(context.Background(), "a", 0)
	require.Len(t, listed, 1)
	require.Equal(t, "i0-1", listed[0].GetId())
	o.mu.Lock()
	defer o.mu.Unlock()
	require.False(t, finished.listed, "the item is not listed in the submission that it now belongs to")
}

// TestEnginesBelowMinVersionAreNotUsed checks that no run is placed on an engine with
// older weights than the submission's minimum version.
func TestEnginesBelowMinVersionAreNotUsed(t *testing.T) {
	f := newFixture(3)
	f.version["e2"] = 2
	for _, e := range f.directory.Of("s") {
		e.Live.ObserveVersion("m", f.version[e.ID])
	}
	s := f.service()
	s.StartOwner(f.owner(t, "n"))
	submission := submissionOf("a", 2, 2, 2)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	for _, result := range allResults(t, s, "a", 4) {
		require.Equal(t, []int64{2}, result.GetVersions())
	}
}

// TestItemsAreAbandonedAfterRejectionOrMaxAttempts checks that a rejected item is
// abandoned at once, and a failing one after the route's number of attempts.
func TestItemsAreAbandonedAfterRejectionOrMaxAttempts(t *testing.T) {
	f := newFixture(3)
	f.fails["i0-0"] = call.ErrRejected.New("status 422")
	f.fails["i0-1"] = call.ErrFailed.New("status 500")
	s := f.service()
	s.StartOwner(f.owner(t, "n"))
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 3, 1)))
	results := allResults(t, s, "a", 3)
	abandoned := map[string]bool{}
	for _, result := range results {
		abandoned[result.GetId()] = result.GetAbandoned()
	}
	require.Equal(t, map[string]bool{"i0-0": true, "i0-1": true, "i0-2": false}, abandoned)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, 1, f.runs["i0-0"])
	require.Equal(t, 3, f.runs["i0-1"])
}

// TestItemIsNotGivenUpByTheClockOfAnotherNode guards against an item that is given up before its
// route's limit, because the node that accepted it has a clock that is behind.
func TestItemIsNotGivenUpByTheClockOfAnotherNode(t *testing.T) {
	const limit = time.Minute
	f := newFixture(1)
	f.limitQueue(limit)
	o := f.owner(t, "n")
	h := head{Unit: testUnit, Total: 1, AcceptedMillis: time.Now().Add(-2 * limit).UnixMilli()}
	o.Open(submissionOf("a", 1, 1, 1), h, nil, 0)
	i, opened := o.items["i0-0"], o.submissions["a"].openedAt
	for after, want := range map[time.Duration]bool{0: false, limit: false, limit + 1: true} {
		require.Equal(t, want, o.overdue(i, opened.Add(after)), after)
	}
}

// TestTextWithoutEndIsDiscarded checks that an engine which goes on sending events is left, whether
// there are too many of them or too many bytes, and that the items' texts are those of the other
// engines.
func TestTextWithoutEndIsDiscarded(t *testing.T) {
	for name, size := range map[string]int{"events": 0, "bytes": 4 << 10} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3)
			f.endless = map[string]int{"e0": size}
			s := f.service()
			s.StartOwner(f.owner(t, "n"))
			submission := submissionOf("a", 2, 3, 1)
			require.NoError(t, s.Accept(context.Background(), testUnit, submission))
			requireComplete(t, f, submission, allResults(t, s, "a", 6))
		})
	}
}

// TestLimitsOfTexts checks the limits that follow from what is known of an item.
func TestLimitsOfTexts(t *testing.T) {
	for tokens, want := range map[int64]textLimit{
		0:       {events: textlimit.MaxBytes / eventOverhead, bytes: textlimit.MaxBytes},
		10:      {events: 10, bytes: textlimit.MinLimit},
		1000:    {events: 1000, bytes: 1000 * textlimit.TokenBytes},
		1 << 60: {events: math.MaxInt32, bytes: textlimit.MaxBytes},
	} {
		require.Equal(t, want, limitOf(&recordpb.Item{Tokens: tokens}), tokens)
	}
}

// TestItemUnderWhichEnginesCrashedIsPlacedAgain guards against an item that is not placed
// for seconds, or never again, after several engines crashed while they ran it: it is still
// owed.
func TestItemUnderWhichEnginesCrashedIsPlacedAgain(t *testing.T) {
	const crashes = 8
	f := newFixture(6)
	f.fails["i0-0"] = call.ErrBroken.New("reset")
	s := f.service()
	s.StartOwner(f.owner(t, "n"))
	submission := submissionOf("a", 2, 1, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	allResults(t, s, "a", 1)
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["i0-0"] >= crashes }, testTimeout, pause)
	f.mu.Lock()
	delete(f.fails, "i0-0")
	f.mu.Unlock()
	requireComplete(t, f, submission, allResults(t, s, "a", 2))
}

// TestPauseAfterBreaksIsShort checks that the pauses of an item whose runs break grow, and
// stay far below the five seconds for which an item may be at no engine.
func TestPauseAfterBreaksIsShort(t *testing.T) {
	const longestWithoutEngine = 5 * time.Second
	i, now := &item{}, testNow()
	previous := time.Duration(0)
	for n := range 200 {
		i.delayAfterBreak(&run{}, now)
		p := i.notBefore.Sub(now)
		require.GreaterOrEqual(t, p, previous, "break %d", n)
		require.Less(t, p, longestWithoutEngine/10, "break %d", n)
		previous = p
	}
	require.Greater(t, previous, breakPause, "engines that restart are not pressed")
}

// TestNewOwnerOpensSubmissionsHoweverLongTheStoreIsDown guards against accepted submissions
// that are never run, because the store went down right after their owner had changed.
func TestNewOwnerOpensSubmissionsHoweverLongTheStoreIsDown(t *testing.T) {
	const failedReads = 50
	f := newFixture(3)
	s := f.service()
	submission := submissionOf("a", 1, 2, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	owner := f.owner(t, "n")
	f.store.SetFaults(memory.Faults{Down: true})
	calls := f.store.Calls()
	s.StartOwner(owner)
	require.Eventually(t, func() bool { return f.store.Calls() >= calls+failedReads }, testTimeout, pause)
	f.store.SetFaults(memory.Faults{})
	requireComplete(t, f, submission, allResults(t, s, "a", 2))
}

func TestNotFoundRequiresConfirmationByTheStore(t *testing.T) {
	f := newFixture(1)
	s := f.service()
	_, _, err := s.Read(context.Background(), "none", 0, 0)
	require.True(t, call.Is(err, ErrNotFound))
	f.store.SetFaults(memory.Faults{Down: true})
	_, _, err = s.Read(context.Background(), "none", 0, 0)
	require.True(t, call.Is(err, ErrUnavailable))
	require.True(t, call.Is(s.Accept(context.Background(), testUnit, submissionOf("a", 1, 1, 1)), ErrUnavailable))
	f.store.SetFaults(memory.Faults{LoseResponses: true, DelayCommits: true})
	require.True(t, call.Is(s.Accept(context.Background(), testUnit, submissionOf("b", 1, 1, 1)), ErrUnknown))
}

func TestItemBodiesAreReturned(t *testing.T) {
	f := newFixture(1)
	s := f.service()
	submission := submissionOf("a", 1, 1, 1)
	submission.Items[0].Body = []byte{0, 1, 2}
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	body, err := f.service().Body(context.Background(), "a", "i0-0")
	require.NoError(t, err)
	require.Equal(t, []byte{0, 1, 2}, body)
	_, err = s.Body(context.Background(), "a", "other")
	require.True(t, call.Is(err, ErrNotFound))
}

// TestEndedSubmissionsAreRemoved checks that an ended submission is removed after its
// reading period, by the owner that ran it or a later one, and also after a failed first
// attempt.
func TestEndedSubmissionsAreRemoved(t *testing.T) {
	for _, row := range []struct {
		name    string
		later   bool
		refused bool
	}{{"by the owner that ran it", false, false}, {"by a later owner", true, false}, {"after the store recovers", false, true}} {
		t.Run(row.name, func(t *testing.T) {
			f := newFixture(3)
			s := f.service()
			o := f.owner(t, "n")
			s.StartOwner(o)
			require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 3, 2, 1)))
			allResults(t, s, "a", 6)
			require.NoError(t, s.End(context.Background(), "a"))
			if row.later {
				o = f.owner(t, "later")
				s.StartOwner(o)
				require.Eventually(t, func() bool { o.mu.Lock(); defer o.mu.Unlock(); return len(o.removals) == 1 }, testTimeout, pause)
			}
			f.store.SetFaults(memory.Faults{Down: row.refused})
			expireNow := func() {
				o.mu.Lock()
				defer o.mu.Unlock()
				if s := o.submissions["a"]; s != nil {
					s.endedAt = s.endedAt.Add(-2 * o.options.Status)
				}
				for id := range o.removals {
					o.removals[id] = time.Now().Add(-time.Second)
				}
			}
			expireNow()
			if row.refused {
				require.Eventually(t, func() bool { o.mu.Lock(); defer o.mu.Unlock(); return len(o.removals) == 1 }, testTimeout, pause)
				f.store.SetFaults(memory.Faults{})
				expireNow()
			}
			require.Eventually(t, func() bool {
				_, err := f.store.Get(context.Background(), headKey("a"))
				return call.Is(err, metastore.ErrNotFound)
			}, testTimeout, pause)
			for _, prefix := range []string{recordPrefix, resultPrefix} {
				page, err := f.store.Range(context.Background(), prefix, "")
				require.NoError(t, err)
				require.Empty(t, page.Items)
			}
		})
	}
}

func TestLargeSubmissionIsSplit(t *testing.T) {
	f := newFixture(1)
	s := f.service()
	submission := submissionOf("a", 1, 1, 1)
	submission.Items[0].Body = slices.Repeat([]byte{7}, 2*partBytes)
	require.NoError(t, s.Accept(context.Background(), testUnit, submission))
	body, err := f.service().Body(context.Background(), "a", "i0-0")
	require.NoError(t, err)
	require.Equal(t, submission.Items[0].Body, body)
	submission = submissionOf("b", 1, 1, 1)
	submission.Items[0].Body = slices.Repeat([]byte{7}, (maxParts+1)*partBytes)
	require.True(t, call.Is(s.Accept(context.Background(), testUnit, submission), ErrTooLarge))
}

func TestCheckReportsTheFormatViolation(t *testing.T) {
	valid := submissionOf("a", 1, 2, 1)
	require.NoError(t, Check(valid))
	duplicate := submissionOf("a", 1, 2, 1)
	duplicate.Items[1].Id = duplicate.Items[0].Id
	require.ErrorContains(t, Check(duplicate), "occurs twice")
	require.ErrorContains(t, Check(submissionOf("", 1, 1, 1)), "the id must have")
	require.ErrorContains(t, Check(submissionOf("a/b", 1, 1, 1)), "only letters, digits")
	require.ErrorContains(t, Check(submissionOf("a", 0, 0, 1)), "at least one")
	badPath := submissionOf("a", 1, 1, 1)
	badPath.Items[0].Path = "x"
	require.ErrorContains(t, Check(badPath), "begin with a slash")
}

// TestChoicePrefersFastEngines checks that a slow engine receives runs only when the faster
// ones are full.
func TestChoicePrefersFastEngines(t *testing.T) {
	f := newFixture(3)
	now := testNow()
	slope := fleet.NewLoadSlope()
	for _, e := range f.directory.Of("s") {
		gap := 30
		if e.ID == "e0" {
			gap = 110
		}
		e.Live.Pace.Observe(millis(gap), 1, slope, now)
	}
	const events = 20
	engines := newEngines(f.directory.Of("s"), slope, "z", now)
	count := map[string]int{}
	for range 8 {
		e, ok := engines.choose(need{model: "m", minVersion: 1}, events)
		require.True(t, ok)
		count[e.ID]++
	}
	require.Equal(t, map[string]int{"e1": 4, "e2": 4}, count)
	e, ok := engines.choose(need{model: "m", minVersion: 1}, events)
	require.True(t, ok)
	require.Equal(t, "e0", e.ID)
	_, ok = engines.betterEngine(e, need{model: "m", minVersion: 1}, events)
	require.False(t, ok, "the faster engines are full")
	engines.runs["e1"]--
	better, ok := engines.betterEngine(e, need{model: "m", minVersion: 1}, events)
	require.True(t, ok)
	require.Equal(t, "e1", better.ID)
}
