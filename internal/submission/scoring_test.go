package submission

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// uncountedEnds are the ways in which a scoring call ends that say nothing about the item.
func uncountedEnds() map[string]scoringEnd {
	return map[string]scoringEnd{
		"503 of the endpoint":              {status: http.StatusServiceUnavailable},
		"504 of the endpoint":              {status: http.StatusGatewayTimeout},
		"502 of the endpoint":              {status: http.StatusBadGateway},
		"404 of the endpoint":              {status: http.StatusNotFound},
		"422 of the endpoint":              {status: http.StatusUnprocessableEntity},
		"our own timeout":                  {err: call.ErrEnded.New("no complete answer in time")},
		"a connection that broke":          {err: call.ErrBroken.New("reset")},
		"bytes that are no answer":         {err: call.ErrMalformed.New("no answer")},
		"the answer of another call":       {err: call.ErrForeign.New("another request")},
		"a full endpoint":                  {err: call.ErrFull.New("status 503")},
		"another endpoint at the address":  {err: call.ErrMisdirected.New("status 421")},
		"an endpoint that was not reached": {err: call.ErrNotSent.New("refused")},
		"no endpoint":                      {err: call.ErrNoEndpoint.New("none accepts work")},
	}
}

// TestOnlyFailuresOfTheScoringCallItselfAbandonAnItem guards against an item that is given up
// because endpoints were too slow for its scoring call, or could not be reached (review/8).
func TestOnlyFailuresOfTheScoringCallItselfAbandonAnItem(t *testing.T) {
	for name, end := range uncountedEnds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(1)
			f.scoringEnds["i0-0"] = slices.Repeat([]scoringEnd{end}, scoreAttempts+1)
			s := f.service()
			s.StartOwner(f.owner(t, "n"))
			submission := submissionOf("a", 1, 1, 1)
			require.NoError(t, s.Accept(context.Background(), testUnit, submission))
			requireComplete(t, f, submission, allResults(t, s, "a", 1))
		})
	}
}

// TestScoringCallThatFailsOnEveryAttemptAbandonsItsItem checks that the failures of a scoring
// call count over all other ways in which its attempts end, and up to its route's attempts.
func TestScoringCallThatFailsOnEveryAttemptAbandonsItsItem(t *testing.T) {
	failed := scoringEnd{status: http.StatusInternalServerError}
	late := scoringEnd{status: http.StatusGatewayTimeout}
	for failures, abandoned := range map[int]bool{scoreAttempts - 1: false, scoreAttempts: true} {
		t.Run(fmt.Sprint(failures, " failures"), func(t *testing.T) {
			f := newFixture(1)
			for range failures {
				f.scoringEnds["i0-0"] = append(f.scoringEnds["i0-0"], late, failed)
			}
			s := f.service()
			s.StartOwner(f.owner(t, "n"))
			require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 1, 1)))
			results := allResults(t, s, "a", 1)
			require.Equal(t, abandoned, results[0].GetAbandoned())
		})
	}
}

// TestItemThatCannotBeScoredIsAbandonedAfterTheRoutesLimit guards against a scoring call that is
// repeated without end, since none of its answers counts.
func TestItemThatCannotBeScoredIsAbandonedAfterTheRoutesLimit(t *testing.T) {
	const limit = time.Minute
	f := newFixture(1)
	f.limitQueue(limit)
	f.scoringEnds["i0-0"] = []scoringEnd{{status: http.StatusNotFound}}
	o := f.owner(t, "n")
	o.Open(submissionOf("a", 1, 1, 1), head{Unit: testUnit, Total: 1}, nil, 0)
	i, opened := o.items["i0-0"], o.submissions["a"].openedAt
	i.text.complete, i.state = true, scoring
	o.mu.Lock()
	o.startScores(opened.Add(limit))
	open := i.scoreOpen
	o.startScores(opened.Add(limit + time.Second))
	o.mu.Unlock()
	require.True(t, open, "the limit is not exceeded yet")
	require.Equal(t, scoring, i.state, "a call in flight may still succeed")
	require.Eventually(t, func() bool { o.mu.Lock(); defer o.mu.Unlock(); return !i.scoreOpen }, testTimeout, pause)
	o.mu.Lock()
	defer o.mu.Unlock()
	i.notBefore = opened // the pause before the next attempt is over
	o.startScores(opened.Add(limit + time.Second))
	require.Equal(t, finished, i.state)
	require.True(t, i.result.GetAbandoned())
}

// TestCarriedItemIsScoredAnew guards against an item that is given up after fewer failures of its
// scoring call than its route allows, because those of an earlier submission count (review/9).
func TestCarriedItemIsScoredAnew(t *testing.T) {
	failed := scoringEnd{status: http.StatusInternalServerError}
	for _, row := range []struct {
		name string
		// earlier is the number of failures in the first submission.
		earlier int
		reward  string
	}{
		{"given up before", scoreAttempts, "score-other"},
		{"given up before, same call", scoreAttempts, "score-i0-0"},
		{"still being scored", scoreAttempts - 1, "score-other"},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(1)
			f.fails["i0-1"] = call.ErrFull.New("full") // keeps the group incomplete
			f.scoringEnds["i0-0"] = slices.Concat(slices.Repeat([]scoringEnd{failed}, row.earlier), slices.Repeat([]scoringEnd{{status: http.StatusGatewayTimeout}}, 100))
			s := f.service()
			o := f.owner(t, "n")
			s.StartOwner(o)
			require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 2, 1)))
			require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.scored["i0-0"] >= row.earlier }, testTimeout, pause)
			if row.earlier == scoreAttempts {
				require.True(t, allResults(t, s, "a", 1)[0].GetAbandoned())
			}
			require.NoError(t, s.End(context.Background(), "a"))
			next := submissionOf("b", 1, 2, 1)
			next.Items[0].Reward.Id = row.reward
			id := strings.TrimPrefix(row.reward, "score-")
			f.mu.Lock()
			delete(f.fails, "i0-1")
			f.written[id] = 1
			f.scoringEnds[id] = slices.Repeat([]scoringEnd{failed}, scoreAttempts-1)
			f.mu.Unlock()
			require.NoError(t, s.Accept(context.Background(), testUnit, next))
			for _, result := range allResults(t, s, "b", 2) {
				require.False(t, result.GetAbandoned(), result.GetId())
				if result.GetId() == "i0-0" {
					require.Equal(t, "stamp-"+id, result.GetScore())
				}
			}
		})
	}
}

// TestScoringCallEndsSoonAfterItsSubmission guards against a scoring call that goes on, and may
// reach further endpoints, long after its submission ended: nobody reads its result.
func TestScoringCallEndsSoonAfterItsSubmission(t *testing.T) {
	f := newFixture(1)
	s := f.service()
	o := f.owner(t, "n")
	called, ended := make(chan struct{}), make(chan struct{})
	o.options.Scorer = func(ctx context.Context, _ *recordpb.Reward) (*call.Answer, int, error) {
		close(called)
		<-ctx.Done()
		close(ended)
		return nil, scoreAttempts, call.ErrEnded.New("cancelled")
	}
	s.StartOwner(o)
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 1, 1)))
	<-called
	require.NoError(t, s.End(context.Background(), "a"))
	select {
	case <-ended:
	case <-time.After(testTimeout):
		require.Fail(t, "the scoring call goes on")
	}
}
