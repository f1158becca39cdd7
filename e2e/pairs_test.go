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

// pairsSeed picks the pairs, their victims and their moments.
const pairsSeed = 20261

const (
	// pausePastLease is longer than the lease of an entry, which is 8 s.
	pausePastLease = 9 * time.Second
	storeOutage    = 4 * time.Second
	storeSlowness  = 250 // milliseconds a call
	repliesLost    = 5
	streamsCut     = 4
)

// failure is one thing that goes wrong. strike brings it about and returns what
// puts it right, which may wait.
type failure struct {
	name   string
	strike func(*injector) (heal func())
}

var failures = []failure{
	{"entry killed", (*injector).killEntry},
	{"entry paused past its lease", (*injector).pauseEntry},
	{"entry terminated", (*injector).terminateEntry},
	{"engine killed", func(in *injector) func() { return in.killEndpoint("engine") }},
	{"service killed", func(in *injector) func() { return in.killEndpoint("service") }},
	{"store down", func(in *injector) func() { return in.faultStore(fault.Fault{Down: true}) }},
	{"store slow", func(in *injector) func() { return in.faultStore(fault.Fault{SlowMillis: storeSlowness}) }},
	{"store loses replies", func(in *injector) func() { return in.faultStore(fault.Fault{LoseReplies: repliesLost}) }},
	{"streams truncated", (*injector).truncateStreams},
}

// pair is two failures and the numbers of requests after which they strike.
type pair struct {
	first, second     failure
	firstAt, secondAt int64
	draw              uint64 // picks the victims
}

// drawPairs draws so many that each failure is in one pair at least.
func drawPairs() []pair {
	random := rand.New(rand.NewPCG(pairsSeed, 0))
	order := random.Perm(len(failures))
	order = append(order, order[random.IntN(len(order)-1)])
	var pairs []pair
	for i := 0; i+1 < len(order); i += 2 {
		at := int64(20 + random.IntN(60))
		pairs = append(pairs, pair{
			first: failures[order[i]], second: failures[order[i+1]],
			firstAt: at, secondAt: at + int64(random.IntN(12)), draw: random.Uint64(),
		})
	}
	return pairs
}

// TestFailuresInPairs: promises 1 to 6 while two things go wrong at nearly the
// same moment, under work of all kinds and a step.
func TestFailuresInPairs(t *testing.T) {
	for i, p := range drawPairs() {
		t.Run(fmt.Sprintf("%d %s, %s", i, p.first.name, p.second.name), func(t *testing.T) { runPair(t, p) })
	}
}

func runPair(t *testing.T, p pair) {
	t.Helper()
	w := newWorld(t, smallWorld)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d: %s after %d requests, %s after %d", pairsSeed, p.first.name, p.firstAt, p.second.name, p.secondAt)
		}
	}()
	in := &injector{w: w, random: rand.New(rand.NewPCG(pairsSeed, p.draw)), struck: map[string]bool{}}
	l := &load{w: w, workers: 8, rounds: 40, attempts: 100, timeout: 3 * time.Second}
	waitStep := w.runTrainers(newTrainer(w, "alpha", 1, 8, 6, 40))
	waitLoad := l.start()
	l.reach(t, p.firstAt)
	healFirst := p.first.strike(in)
	l.reach(t, p.secondAt)
	healSecond := p.second.strike(in)
	healFirst()
	healSecond()
	waitLoad()
	waitStep()
	l.checkTruth()
	l.requireRepeatableWhole()
	w.requireUpdatesGoOn()
}

// requireRepeatableWhole checks that all but updates, which may stay unknown,
// were answered whole.
func (l *load) requireRepeatableWhole() {
	l.w.t.Helper()
	for _, a := range l.asked {
		assert.True(l.w.t, a.whole || a.kind == kindUpdate, "not answered: %s", a)
	}
}

// requireUpdatesGoOn checks that new updates are answered, once, by every entry.
func (w *world) requireUpdatesGoOn() {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.readyBackends() == len(w.Entries()) }, patience, 10*time.Millisecond)
	after := &load{w: w, name: "after", workers: 4, rounds: 10, attempts: 100, timeout: 3 * time.Second, kinds: []kind{kindUpdate}}
	after.run()
	after.checkTruth()
	after.requireAllWhole()
}

// injector strikes victims that it picks by chance, each once at most.
type injector struct {
	w      *world
	random *rand.Rand
	struck map[string]bool
	store  fault.Fault // in force at the key-value service
}

func (in *injector) pickEntry() *proctest.Entry {
	in.w.t.Helper()
	var able []*proctest.Entry
	for _, entry := range in.w.Entries() {
		if !in.struck[entry.ID] {
			able = append(able, entry)
		}
	}
	require.NotEmpty(in.w.t, able)
	victim := able[in.random.IntN(len(able))]
	in.struck[victim.ID] = true
	in.w.t.Logf("victim: %s", victim.ID)
	return victim
}

func (in *injector) pickEndpoint(kind string) *proctest.Endpoint {
	in.w.t.Helper()
	var able []*proctest.Endpoint
	for _, endpoint := range in.w.Endpoints() {
		if endpoint.Kind == kind && !in.struck[endpoint.ID] {
			able = append(able, endpoint)
		}
	}
	require.NotEmpty(in.w.t, able)
	victim := able[in.random.IntN(len(able))]
	in.struck[victim.ID] = true
	in.w.t.Logf("victim: %s", victim.ID)
	return victim
}

func (in *injector) killEntry() func() {
	victim := in.pickEntry()
	victim.Kill()
	return func() {
		require.NoError(in.w.t, in.w.RemoveEntry(victim))
		in.w.startEntry()
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
		code, err := victim.Wait(patience)
		require.NoError(in.w.t, err)
		require.Zero(in.w.t, code, "%s did not end cleanly", victim.ID)
		require.NoError(in.w.t, in.w.RemoveEntry(victim))
		in.w.startEntry()
	}
}

func (in *injector) killEndpoint(kind string) func() {
	victim := in.pickEndpoint(kind)
	victim.Kill()
	return func() {
		_, err := in.w.RestartEndpoint(victim)
		require.NoError(in.w.t, err)
	}
}

// faultStore adds a fault for a while. The first of a pair to end ends both.
func (in *injector) faultStore(f fault.Fault) func() {
	in.store.Down = in.store.Down || f.Down
	in.store.SlowMillis = max(in.store.SlowMillis, f.SlowMillis)
	in.store.LoseReplies += f.LoseReplies
	require.NoError(in.w.t, in.w.StoreControl().Put("/faults", in.store))
	cleared := make(chan error, 1)
	time.AfterFunc(storeOutage, func() { cleared <- in.w.StoreControl().Delete("/faults") })
	return func() { require.NoError(in.w.t, <-cleared) }
}

func (in *injector) truncateStreams() func() {
	victim := in.pickEndpoint("engine")
	faults := standin.Fault{AfterTokens: 3, TruncateNext: streamsCut}
	require.NoError(in.w.t, victim.Control().Put("/faults", faults))
	return func() {}
}
