package submission

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// ofAccount returns a submission of one item that belongs to an account.
func ofAccount(id, name string) *recordpb.Submission {
	s := submissionOf(id, 1, 1, 1)
	priority := int32(3)
	s.Account, s.Priority = name, &priority
	return s
}

func callerOf(name string) account.Caller {
	return account.Caller{Checked: true, Account: &account.Account{Name: name}}
}

// TestNextOwnerSendsTheAccount lets an owner generate two events, and checks that the next
// one resumes the text with the account and the priority of the submission, whether the text
// is handed over or read from the store, and saves it for an owner after it.
func TestNextOwnerSendsTheAccount(t *testing.T) {
	const before = 2
	for name, transfer := range map[string]func(first *Service, next *Owner){
		"handed over": func(first *Service, next *Owner) {
			first.StopOwner(testUnit)
			next.Seed(first.TextsOf(testUnit))
		},
		"saved": func(first *Service, next *Owner) {
			first.StopOwner(testUnit)
			next.Restore()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			f.gate = make(chan struct{})
			first := f.service()
			owner := f.owner(t, "n1")
			owner.Restore()
			first.StartOwner(owner)
			submission := ofAccount("s", "a")
			require.NoError(t, first.Accept(context.Background(), testUnit, submission))
			for range before {
				f.gate <- struct{}{}
			}
			require.Eventually(t, func() bool { return checkpointsOf(t, f) > 0 }, testTimeout, pause)
			second := f.service()
			next := f.owner(t, "n2")
			transfer(first, next)
			second.StartOwner(next)
			_, err := second.findHead(context.Background(), "s")
			require.NoError(t, err)
			require.NoError(t, second.Authorize(context.Background(), callerOf("a"), "s"))
			require.True(t, call.Is(second.Authorize(context.Background(), callerOf("b"), "s"), ErrNotFound))
			close(f.gate)
			requireComplete(t, f, submission, allResults(t, second, "s", 1))
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, before, f.after["i0-0"][1])
			for _, request := range f.requests {
				require.Equal(t, "a", request.Account)
				require.Equal(t, 3, request.Priority)
				require.True(t, request.HasPriority)
			}
			next.mu.Lock()
			defer next.mu.Unlock()
			for key, i := range next.items {
				require.Equal(t, key, i.key())
			}
		})
	}
}

// TestTextsAreNotUsedByAnotherAccount ends a submission in the middle of a text and submits
// an item with the same ID again: only for the same account it goes on with the text.
func TestTextsAreNotUsedByAnotherAccount(t *testing.T) {
	const before = 2
	for next, runs := range map[string][]string{"a": {"a"}, "b": {"a", "b"}} {
		t.Run(next, func(t *testing.T) {
			f := newFixture(1)
			f.gate = make(chan struct{})
			s := f.service()
			s.StartOwner(f.owner(t, "n1"))
			require.NoError(t, s.Accept(context.Background(), testUnit, ofAccount("first", "a")))
			for range before {
				f.gate <- struct{}{}
			}
			require.NoError(t, s.End(context.Background(), "first"))
			submission := ofAccount("second", next)
			require.NoError(t, s.Accept(context.Background(), testUnit, submission))
			close(f.gate)
			requireComplete(t, f, submission, allResults(t, s, "second", 1))
			f.mu.Lock()
			defer f.mu.Unlock()
			var sent []string
			for i, request := range f.requests {
				sent = append(sent, request.Account)
				require.Zero(t, f.after["i0-0"][i])
			}
			require.Equal(t, runs, sent)
		})
	}
}

// TestSubmissionOfAnotherAccountIsNotJoined covers submissions under an ID in use, whether
// the node knows the earlier one or only the store does.
func TestSubmissionOfAnotherAccountIsNotJoined(t *testing.T) {
	f := newFixture(1)
	first := f.service()
	require.NoError(t, first.Accept(context.Background(), testUnit, ofAccount("s", "a")))
	require.NoError(t, first.Accept(context.Background(), testUnit, ofAccount("s", "a")))
	require.True(t, call.Is(first.Accept(context.Background(), testUnit, ofAccount("s", "b")), ErrTaken))
	require.True(t, call.Is(f.service().Accept(context.Background(), testUnit, ofAccount("s", "b")), ErrTaken))
	require.NoError(t, f.service().Accept(context.Background(), testUnit, ofAccount("s", "a")))
	require.NoError(t, first.Accept(context.Background(), testUnit, submissionOf("s", 1, 1, 1)), "the accounts were removed from the configuration")
	require.NoError(t, first.Accept(context.Background(), testUnit, submissionOf("t", 1, 1, 1)))
	require.NoError(t, first.Accept(context.Background(), testUnit, ofAccount("t", "a")), "accounts were added to the configuration")
	f.store.SetFaults(memory.Faults{Down: true})
	require.True(t, call.Is(f.service().Authorize(context.Background(), callerOf("a"), "s"), ErrUnavailable), "no 404 while the store cannot be read")
}
