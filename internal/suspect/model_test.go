package suspect

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

const (
	modelEntries   = 4
	modelEndpoints = 8
	modelRequests  = 5
)

// model simulates several entries and endpoints that some requests crash. poison is
// the oracle that lists these requests. Each request has one caller, which retries it
// after an error.
type model struct {
	entries []*Registry
	poison  map[Fingerprint]bool
	lost    map[Fingerprint]map[string]bool
	running map[Fingerprint]*modelRun
	refused map[Fingerprint]bool
	// isolated disables the exchange between entries, as in the naive version.
	isolated bool
}

type modelRun struct {
	entry    int
	endpoint string
	done     func(Result)
}

func newModel(poisons int) *model {
	m := &model{poison: map[Fingerprint]bool{}, lost: map[Fingerprint]map[string]bool{}, running: map[Fingerprint]*modelRun{}, refused: map[Fingerprint]bool{}}
	claimer := &memoryClaimer{states: map[claim.Key]claim.State{}}
	now := time.Unix(0, 0)
	for i := range modelEntries {
		exclusive := ClaimExclusive{Claimer: claimer, Self: fmt.Sprint(i)}
		m.entries = append(m.entries, newRegistry(Options{Exclusive: exclusive, Spread: m.spread, Now: func() time.Time { return now }}))
	}
	for i := range poisons {
		m.poison[Fingerprint{byte(i)}] = true
	}
	return m
}

// send makes an attempt of a caller through any entry.
func (m *model) send(t *rapid.T) {
	f := Fingerprint{byte(rapid.IntRange(0, modelRequests-1).Draw(t, "request"))}
	entry := rapid.IntRange(0, modelEntries-1).Draw(t, "entry")
	m.attempt(f, entry, fmt.Sprint(rapid.IntRange(0, modelEndpoints-1).Draw(t, "endpoint")))
}

func (m *model) attempt(f Fingerprint, entry int, endpoint string) {
	if m.running[f] != nil || m.entries[entry].Reserved(endpoint) || m.besideOthers(entry, endpoint, f) {
		return
	}
	admission, done := m.entries[entry].Begin(context.Background(), f, endpoint)
	if admission.Allowed {
		m.running[f] = &modelRun{entry, endpoint, done}
	}
	m.refused[f] = m.refused[f] || admission.Reason == ReasonConvicted
}

// besideOthers reports whether a suspect would share the endpoint with other requests
// of its entry, which the dispatcher prevents too.
func (m *model) besideOthers(entry int, endpoint string, f Fingerprint) bool {
	if standing, _ := m.entries[entry].Standing(f); standing == Clear {
		return false
	}
	for _, run := range m.running {
		if run.entry == entry && run.endpoint == endpoint {
			return true
		}
	}
	return false
}

// finish ends a run. A poison request crashes its endpoint with all its runs.
func (m *model) finish(t *rapid.T) {
	m.end(Fingerprint{byte(rapid.IntRange(0, modelRequests-1).Draw(t, "request"))})
}

func (m *model) end(f Fingerprint) {
	run := m.running[f]
	if run == nil {
		return
	}
	if !m.poison[f] {
		delete(m.running, f)
		run.done(Survived)
		return
	}
	if m.lost[f] == nil {
		m.lost[f] = map[string]bool{}
	}
	m.lost[f][run.endpoint] = true
	m.crash(run.endpoint)
}

// crash ends all runs on an endpoint. The rows of each request are sent to all entries
// before its caller gets an error and can retry it.
func (m *model) crash(endpoint string) {
	for f, run := range m.running {
		if run.endpoint != endpoint {
			continue
		}
		delete(m.running, f)
		run.done(EndpointDied)
	}
}

// spread merges rows into all entries before the caller gets an error.
func (m *model) spread(rows []*peerpb.Suspect) {
	if m.isolated {
		return
	}
	for _, entry := range m.entries {
		entry.Merge(rows)
	}
}

func (m *model) exchange(t *rapid.T) {
	from := rapid.IntRange(0, modelEntries-1).Draw(t, "from")
	to := rapid.IntRange(0, modelEntries-1).Draw(t, "to")
	m.entries[to].Merge(m.entries[from].News(rapid.IntRange(2, 20).Draw(t, "limit")))
}

func (m *model) check(t *rapid.T) {
	for f, endpoints := range m.lost {
		require.LessOrEqual(t, len(endpoints), 2, "request %x", f[:1])
	}
	for f := range m.refused {
		require.True(t, m.poison[f] || !m.refused[f], "innocent request %x was convicted", f[:1])
	}
}

// TestOnePoisonRequestAgainstOracle checks that a poison request crashes at most two
// endpoints and that requests running beside it are not convicted.
func TestOnePoisonRequestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(1)
		t.Repeat(map[string]func(*rapid.T){"": m.check, "send": m.send, "sendAgain": m.send, "finish": m.finish, "exchange": m.exchange})
	})
}

// TestNaiveVersionLosesMoreEndpoints retries a poison request at one entry after another.
// It must crash two endpoints, and more in the naive version, in which entries do not
// exchange their records.
func TestNaiveVersionLosesMoreEndpoints(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		m, f := newModel(1), Fingerprint{}
		m.isolated = isolated
		for attempt := range modelEndpoints {
			m.attempt(f, attempt%modelEntries, fmt.Sprint(attempt))
			m.end(f)
		}
		require.Equal(t, isolated, len(m.lost[f]) > 2, "%d endpoints lost", len(m.lost[f]))
	}
}

func drawRows(t *rapid.T) []*peerpb.Suspect {
	row := rapid.Custom(func(t *rapid.T) *peerpb.Suspect {
		endpoints := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-f]`), 1, 3, rapid.ID).Draw(t, "endpoints")
		deaths := rapid.IntRange(0, 1).Draw(t, "open") * len(endpoints)
		return &peerpb.Suspect{
			Fingerprint: append([]byte{rapid.ByteRange(0, 2).Draw(t, "request")}, make([]byte, FingerprintSize-1)...),
			Endpoints:   endpoints, Deaths: int32(deaths),
			Convicted: deaths > 0 && rapid.Bool().Draw(t, "convicted"),
			AgeMs:     int64(rapid.IntRange(0, 1000).Draw(t, "age")),
		}
	})
	return rapid.SliceOf(row).Draw(t, "rows")
}

// TestMergeIsCommutativeIdempotentAndMonotone checks that rows merge in any order and
// any number of times, and that no merge revokes a conviction.
func TestMergeIsCommutativeIdempotentAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		clock := func() time.Time { return now }
		rows := drawRows(t)
		ordered, shuffled := newRegistry(Options{Now: clock}), newRegistry(Options{Now: clock})
		ordered.Merge(rows)
		for _, row := range rapid.Permutation(append(rows, rows...)).Draw(t, "order") {
			shuffled.Merge([]*peerpb.Suspect{row})
		}
		for i := range byte(3) {
			require.Equal(t, ordered.NewsOf(Fingerprint{i}), shuffled.NewsOf(Fingerprint{i}))
		}
		more := drawRows(t)
		for i := range byte(3) {
			before, _ := ordered.Standing(Fingerprint{i})
			ordered.Merge(more)
			after, _ := ordered.Standing(Fingerprint{i})
			require.False(t, before == Convicted && after != Convicted)
		}
	})
}
