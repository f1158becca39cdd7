package submission

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
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
