package suspect

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/claim"
)

func newRegistry(options Options) *Registry { return NewRegistry(options, discardLogger, nil) }

// run begins a run and ends it at once with a result.
func run(r *Registry, f Fingerprint, endpoint string, result Result) Admission {
	admission, done := r.Begin(context.Background(), f, endpoint)
	done(result)
	return admission
}

func TestSecondDeathWhileRunningAloneConvicts(t *testing.T) {
	r, f := newRegistry(Options{}), FingerprintOf("class", "model", []byte("body"))
	require.Equal(t, Admission{Allowed: true}, run(r, f, "a", EndpointDied))
	standing, avoid := r.Standing(f)
	require.Equal(t, Suspected, standing)
	require.Equal(t, []string{"a"}, avoid)
	require.Equal(t, Admission{Reason: ReasonSameEndpoint}, run(r, f, "a", Other))
	require.Equal(t, Admission{Allowed: true, RunAlone: true}, run(r, f, "b", EndpointDied))
	require.Equal(t, Admission{Reason: ReasonConvicted}, run(r, f, "c", Other))
}

func TestSurvivingSuspectIsCleared(t *testing.T) {
	r, f := newRegistry(Options{}), Fingerprint{1}
	run(r, f, "a", EndpointDied)
	run(r, f, "b", Survived)
	require.Equal(t, Admission{Allowed: true}, run(r, f, "a", EndpointDied))
	require.Equal(t, Admission{Allowed: true}, run(r, f, "c", Survived))
}

func TestSuspectRunsOnceAtATimeAndSharesNoEndpoint(t *testing.T) {
	ctx, r := context.Background(), newRegistry(Options{})
	first, second := Fingerprint{1}, Fingerprint{2}
	run(r, first, "a", EndpointDied)
	run(r, second, "a", EndpointDied)
	_, done := r.Begin(ctx, first, "b")
	require.True(t, r.Reserved("b"))
	require.Equal(t, ReasonRunning, run(r, first, "c", Other).Reason)
	require.Equal(t, ReasonRunning, run(r, second, "b", Other).Reason)
	done(Other)
	require.False(t, r.Reserved("b"))
	require.True(t, run(r, first, "c", Other).Allowed)
}

func TestTwoDeathsDuringConcurrentRunsConvictByRule(t *testing.T) {
	ctx, f := context.Background(), Fingerprint{1}
	for rule, want := range map[Rule]Standing{SecondAlone: Suspected, SecondAny: Convicted, SecondAloneOrThird: Suspected} {
		r := newRegistry(Options{Rule: rule})
		_, doneA := r.Begin(ctx, f, "a")
		_, doneB := r.Begin(ctx, f, "b")
		doneA(EndpointDied)
		doneB(EndpointDied)
		standing, _ := r.Standing(f)
		require.Equal(t, want, standing)
	}
}

func TestStandingsExpireAndAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	r := newRegistry(Options{Limit: 2, Now: func() time.Time { return now }})
	for i := range byte(3) {
		run(r, Fingerprint{i}, "a", EndpointDied)
	}
	standing, _ := r.Standing(Fingerprint{0})
	require.Equal(t, Clear, standing)
	run(r, Fingerprint{2}, "b", EndpointDied)
	now = now.Add(DefaultSuspicionAge + 1)
	standing, _ = r.Standing(Fingerprint{1})
	require.Equal(t, Clear, standing)
	standing, _ = r.Standing(Fingerprint{2})
	require.Equal(t, Convicted, standing)
	now = now.Add(DefaultConvictionAge)
	standing, _ = r.Standing(Fingerprint{2})
	require.Equal(t, Clear, standing)
}

// memoryClaimer is an in-memory Claimer that can be set to fail.
type memoryClaimer struct {
	states map[claim.Key]claim.State
	down   bool
}

func (m *memoryClaimer) Claim(_ context.Context, request claim.Request) (claim.Grant, error) {
	if m.down {
		return claim.Grant{}, claim.ErrUnavailable.New("down")
	}
	if state, exists := m.states[request.Key]; exists && state != claim.NotRun {
		return claim.Grant{Verdict: claim.Taken}, nil
	}
	m.states[request.Key] = claim.Running
	return claim.Grant{Verdict: claim.Granted, Key: request.Key}, nil
}

func (m *memoryClaimer) Settle(_ context.Context, grant claim.Grant, ending claim.Ending) error {
	m.states[grant.Key] = ending.State
	return nil
}

func TestClaimsPreventConcurrentRunsOfSuspect(t *testing.T) {
	ctx, claimer, f := context.Background(), &memoryClaimer{states: map[claim.Key]claim.State{}}, Fingerprint{1}
	exclusive := ClaimExclusive{Claimer: claimer, Self: "one"}
	release, err := exclusive.Acquire(ctx, f, "a")
	require.NoError(t, err)
	_, err = exclusive.Acquire(ctx, f, "b")
	require.True(t, errorx.IsOfType(err, ErrBusy))
	_, err = exclusive.Acquire(ctx, Fingerprint{2}, "a")
	require.True(t, errorx.IsOfType(err, ErrBusy))
	release(Survived)
	release, err = exclusive.Acquire(ctx, f, "a")
	require.NoError(t, err)
	release(EndpointDied)
	_, err = exclusive.Acquire(ctx, f, "b")
	require.True(t, errorx.IsOfType(err, ErrBusy))
	releaseOther, err := exclusive.Acquire(ctx, Fingerprint{2}, "a")
	require.NoError(t, err)
	releaseOther(Other)
	claimer.down = true
	_, err = exclusive.Acquire(ctx, Fingerprint{3}, "a")
	require.True(t, errorx.IsOfType(err, ErrUnavailable))
}
