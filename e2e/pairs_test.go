package e2e

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
)

// pairsSeed determines the pairs of failures, their victims and their times.
const pairsSeed = 20261

const (
	// pausePastLease exceeds the lease of an entry, which is 8 s.
	pausePastLease   = 9 * time.Second
	storeOutage      = 4 * time.Second
	storeDelayMillis = 250 // per call of the key-value service
	repliesLost      = 5
	streamsCut       = 4
)

// failure is a kind of failure. inject causes it and returns a function that repairs it or waits
// until it has ended.
type failure struct {
	name   string
	inject func(*injector) (restore func())
}

var failures = []failure{
	{"entry killed", (*injector).killEntry},
	{"entry paused past its lease", (*injector).pauseEntry},
	{"entry terminated", (*injector).terminateEntry},
	{"engine killed", func(in *injector) func() { return in.killEndpoint("engine") }},
	{"service killed", func(in *injector) func() { return in.killEndpoint("service") }},
	{"store down", func(in *injector) func() { return in.faultStore(fault.Fault{Down: true}) }},
	{"store slow", func(in *injector) func() { return in.faultStore(fault.Fault{SlowMillis: storeDelayMillis}) }},
	{"store loses responses", func(in *injector) func() { return in.faultStore(fault.Fault{LoseReplies: repliesLost}) }},
	{"streams truncated", (*injector).truncateStreams},
}

// pair is two failures and the numbers of ended requests after which they are injected.
type pair struct {
	first, second     failure
	firstAt, secondAt int64
	victimSeed        uint64 // seeds the choice of the victims
}

// drawPairs returns random pairs in which each failure occurs at least once.
func drawPairs() []pair {
	random := rand.New(rand.NewPCG(pairsSeed, 0))
	order := random.Perm(len(failures))
	order = append(order, order[random.IntN(len(order)-1)])
	var pairs []pair
	for i := 0; i+1 < len(order); i += 2 {
		offset := int64(20 + random.IntN(60))
		pairs = append(pairs, pair{
			first: failures[order[i]], second: failures[order[i+1]],
			firstAt: offset, secondAt: offset + int64(random.IntN(12)), victimSeed: random.Uint64(),
		})
	}
	return pairs
}

// TestFailuresInPairs checks guarantees 1 to 6 while two failures occur at nearly the same time,
// under a load of all kinds of requests and a step.
func TestFailuresInPairs(t *testing.T) {
	for i, p := range drawPairs() {
		t.Run(fmt.Sprintf("%d %s, %s", i, p.first.name, p.second.name), func(t *testing.T) { runPair(t, p) })
	}
}

func runPair(t *testing.T, p pair) {
	t.Helper()
	env := newEnvironment(t, smallSpec)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d: %s after %d requests, %s after %d", pairsSeed, p.first.name, p.firstAt, p.second.name, p.secondAt)
		}
	}()
	in := &injector{env: env, random: rand.New(rand.NewPCG(pairsSeed, p.victimSeed)), used: map[string]bool{}}
	l := &load{env: env, workers: 8, rounds: 40, attempts: 100, timeout: 3 * time.Second}
	waitStep := env.runTrainers(newTrainer(env, "alpha", 1, 8, 6, 40))
	waitLoad := l.start()
	l.awaitEnded(t, p.firstAt)
	restoreFirst := p.first.inject(in)
	l.awaitEnded(t, p.secondAt)
	restoreSecond := p.second.inject(in)
	restoreFirst()
	restoreSecond()
	waitLoad()
	waitStep()
	l.checkAgainstJournals()
	l.requireIdempotentComplete()
	env.requireUpdatesAnswered()
}

// requireIdempotentComplete checks that all idempotent requests got a complete answer. The outcome
// of an update may stay unknown.
func (l *load) requireIdempotentComplete() {
	l.env.t.Helper()
	for _, r := range l.requests {
		assert.True(l.env.t, r.complete || r.kind == kindUpdate, "not answered: %s", r)
	}
}

// requireUpdatesAnswered waits until all entries are ready, and checks that new updates are
// answered and run exactly once.
func (env *environment) requireUpdatesAnswered() {
	env.t.Helper()
	require.Eventually(env.t, func() bool { return env.readyBackends() == len(env.Entries()) }, waitLimit, 10*time.Millisecond)
	after := &load{env: env, name: "after", workers: 4, rounds: 10, attempts: 100, timeout: 3 * time.Second, kinds: []kind{kindUpdate}}
	after.run()
	after.checkAgainstJournals()
	after.requireAllComplete()
}

// injector injects failures into random victims. It chooses each entry or endpoint at most once.
type injector struct {
	env        *environment
	random     *rand.Rand
	used       map[string]bool
	storeFault fault.Fault // current faults of the key-value service
}

func (in *injector) pickEntry() *proctest.Entry {
	in.env.t.Helper()
	var candidates []*proctest.Entry
	for _, entry := range in.env.Entries() {
		if !in.used[entry.ID] {
			candidates = append(candidates, entry)
		}
	}
	require.NotEmpty(in.env.t, candidates)
	victim := candidates[in.random.IntN(len(candidates))]
	in.used[victim.ID] = true
	in.env.t.Logf("victim: %s", victim.ID)
	return victim
}

func (in *injector) pickEndpoint(kind string) *proctest.Endpoint {
	in.env.t.Helper()
	var candidates []*proctest.Endpoint
	for _, endpoint := range in.env.Endpoints() {
		if endpoint.Kind == kind && !in.used[endpoint.ID] {
			candidates = append(candidates, endpoint)
		}
	}
	require.NotEmpty(in.env.t, candidates)
	victim := candidates[in.random.IntN(len(candidates))]
	in.used[victim.ID] = true
	in.env.t.Logf("victim: %s", victim.ID)
	return victim
}

func (in *injector) killEntry() func() {
	victim := in.pickEntry()
	victim.Kill()
	return func() {
		require.NoError(in.env.t, in.env.RemoveEntry(victim))
		in.env.startEntry()
	}
}

func (in *injector) pauseEntry() func() {
	victim := in.pickEntry()
	victim.Pause()
	resumed := make(chan struct{})
	time.AfterFunc(pausePastLease, func() {
		victim.Resume()
		close(resumed)
	})
	return func() { <-resumed }
}

func (in *injector) terminateEntry() func() {
	victim := in.pickEntry()
	victim.Terminate()
	return func() {
		code, err := victim.Wait(waitLimit)
		require.NoError(in.env.t, err)
		require.Zero(in.env.t, code, "%s did not exit with code 0", victim.ID)
		require.NoError(in.env.t, in.env.RemoveEntry(victim))
		in.env.startEntry()
	}
}

func (in *injector) killEndpoint(kind string) func() {
	victim := in.pickEndpoint(kind)
	victim.Kill()
	return func() {
		_, err := in.env.RestartEndpoint(victim)
		require.NoError(in.env.t, err)
	}
}

// faultStore adds faults to the key-value service for storeOutage. If both failures of a pair
// are faults of the store, the first to end clears both.
func (in *injector) faultStore(f fault.Fault) func() {
	in.storeFault.Down = in.storeFault.Down || f.Down
	in.storeFault.SlowMillis = max(in.storeFault.SlowMillis, f.SlowMillis)
	in.storeFault.LoseReplies += f.LoseReplies
	require.NoError(in.env.t, in.env.StoreControl().Put("/faults", in.storeFault))
	cleared := make(chan error, 1)
	time.AfterFunc(storeOutage, func() { cleared <- in.env.StoreControl().Delete("/faults") })
	return func() { require.NoError(in.env.t, <-cleared) }
}

func (in *injector) truncateStreams() func() {
	victim := in.pickEndpoint("engine")
	faults := standin.Fault{AfterTokens: 3, TruncateNext: streamsCut}
	require.NoError(in.env.t, victim.Control().Put("/faults", faults))
	return func() {}
}
