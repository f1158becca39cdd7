package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testOptions use only two partitions, so that faults affect many claims, and a call timeout
// longer than a lease, so that a thawed owner still has waiting callers.
func testOptions() Options {
	return Options{Partitions: 2, CallTimeout: 20 * time.Second}
}

func TestAtMostOnceAgainstOracle(t *testing.T) {
	granted, scenarioCount := 0, 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			scenario := scenarios().Draw(t, "scenario")
			f, o := newFleet(scenarioEntries, testOptions()), newOracle()
			defer f.close()
			o.play(f, scenario, f.claimer)
			require.Empty(t, o.violations)
			granted += o.granted
			scenarioCount++
			// After the faults have ended, a new key is granted within a few lease periods.
			require.True(t, f.grantsFreshKey())
		})
	})
	t.Logf("%d claims granted", granted)
	require.Greater(t, granted, scenarioCount, "the scenarios must include granted claims")
}

// bubbleTB hides the method Deadline, which must not be called inside a synctest bubble.
type bubbleTB struct{ rapid.TB }

func (f *fleet) grantsFreshKey() bool {
	for range 10 {
		<-time.After(3 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		grant, err := f.claimer(0).Claim(ctx, Request{Key: Key{0: 99}, Claimant: "last"})
		cancel()
		if err == nil {
			return grant.Verdict == Granted
		}
	}
	return false
}

// naiveClaimer has one map per entry and no coordination between entries.
type naiveClaimer struct {
	mu     sync.Mutex
	claims map[Key]*naiveClaim
}

type naiveClaim struct {
	fingerprint Fingerprint
	ending      Ending
}

func (n *naiveClaimer) Claim(_ context.Context, request Request) (Grant, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	existing, known := n.claims[request.Key]
	switch {
	case known && existing.fingerprint != request.Fingerprint:
		return Grant{Verdict: Mismatch}, nil
	case known && existing.ending.State != NotRun:
		return Grant{Verdict: Taken, Prior: existing.ending}, nil
	}
	n.claims[request.Key] = &naiveClaim{request.Fingerprint, Ending{State: Running}}
	return Grant{Verdict: Granted, Key: request.Key}, nil
}

func (n *naiveClaimer) Settle(_ context.Context, grant Grant, ending Ending) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claims[grant.Key].ending = ending
	return nil
}

// TestOracleDetectsViolationsOfNaiveClaimer checks that the oracle detects violations: in the
// same scenarios, naiveClaimer must run requests twice.
func TestOracleDetectsViolationsOfNaiveClaimer(t *testing.T) {
	const examples = 20
	violated := 0
	synctest.Test(t, func(t *testing.T) {
		for seed := range examples {
			f, o := newFleet(scenarioEntries, testOptions()), newOracle()
			naive := make([]*naiveClaimer, scenarioEntries)
			for i := range naive {
				naive[i] = &naiveClaimer{claims: map[Key]*naiveClaim{}}
			}
			o.play(f, scenarios().Example(seed), func(entry int) Claimer { return naive[entry] })
			f.close()
			if len(o.violations) > 0 {
				violated++
			}
		}
	})
	require.Greater(t, violated, examples/4)
}
