package submission

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
)

// TestItemIsNotRunAgainAfterTooManyFailures guards against an item that fails or is rejected at
// each run and reaches endpoints again in each submission that contains it.
func TestItemIsNotRunAgainAfterTooManyFailures(t *testing.T) {
	const allowed = 3 // attempts of the fixture's route
	for name, row := range map[string]struct {
		failure error
		runs    []int // after each submission
	}{
		"rejected": {call.ErrRejected.New("status 422"), []int{1, 2, 3, 3, 3}},
		"failed":   {call.ErrFailed.New("status 500"), []int{allowed, 2 * allowed, 3 * allowed, 3 * allowed, 3 * allowed}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(1)
			f.fails["i0-0"] = row.failure
			f.fails["i0-1"] = call.ErrFull.New("full") // keeps the group incomplete
			s := f.service()
			s.StartOwner(f.owner(t, "n"))
			for n, runs := range row.runs {
				id := fmt.Sprint("s", n)
				require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf(id, 1, 2, 1)))
				result := allResults(t, s, id, 1)[0]
				require.Equal(t, "i0-0", result.GetId())
				require.True(t, result.GetAbandoned())
				require.NoError(t, s.End(context.Background(), id))
				f.mu.Lock()
				require.Equal(t, runs, f.runs["i0-0"], id)
				f.mu.Unlock()
			}
		})
	}
}

// TestCarriedItemHasAllAttempts guards against an item that is given up after fewer failed runs
// than its route allows, because those of an earlier submission count.
func TestCarriedItemHasAllAttempts(t *testing.T) {
	const allowed = 3 // attempts of the fixture's route
	f := newFixture(1)
	f.failRuns("i0-0", allowed-1)
	f.fails["i0-0"] = call.ErrFull.New("full") // afterwards
	s := f.service()
	s.StartOwner(f.owner(t, "n"))
	require.NoError(t, s.Accept(context.Background(), testUnit, submissionOf("a", 1, 1, 1)))
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["i0-0"] >= allowed }, testTimeout, pause)
	require.NoError(t, s.End(context.Background(), "a"))
	f.mu.Lock()
	f.failRuns("i0-0", allowed-1)
	delete(f.fails, "i0-0")
	f.mu.Unlock()
	next := submissionOf("b", 1, 1, 1)
	require.NoError(t, s.Accept(context.Background(), testUnit, next))
	requireComplete(t, f, next, allResults(t, s, "b", 1))
}
