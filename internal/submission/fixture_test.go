package submission

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/call"
	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

const (
	testTimeout = 30 * time.Second
	pause       = 2 * time.Millisecond
	testUnit    = "engines/s"
)

// fixture is the environment of an owner under test: a store, engines that generate
// "ID-N" as the N-th event of an item, and a scorer. Tests set its faults.
type fixture struct {
	store     *memory.Store
	directory *fleet.Directory
	routes    *route.Holder

	mu sync.Mutex
	// breakAfter is the number of events after which each run breaks; zero disables it.
	breakAfter int
	// gate blocks streams before each event until the test sends to it or closes it; nil
	// disables it.
	gate chan struct{}
	// fails maps items to the error with which their runs fail.
	fails map[string]error
	// failedRuns maps items to the number of their next runs that fail.
	failedRuns map[string]int
	// endless lists the endpoints whose streams have no end, with the size of each event.
	endless map[string]int
	// version is the weight version under which each endpoint generates.
	version map[string]int64
	runs    map[string]int
	// after lists, by item, the number of the event after which each run had to resume.
	after   map[string][]int
	started []string
	// requests are all requests for items that were sent, in order.
	requests []*call.Request
	scored   map[string]int
	// scoringEnds lists, by item, how its next scoring calls end. Later ones succeed.
	scoringEnds map[string][]scoringEnd
	// scoredEarly lists the items whose scoring call came before their last event.
	scoredEarly []string
	written     map[string]int
	events      int
	// unconfirmed makes the nodes' ownership unconfirmed.
	unconfirmed bool
}

// singleVersion makes the route require texts of one version.
func (f *fixture) singleVersion() {
	r := &route.Route{Name: "r", Host: "h", Prefix: "/b/", Kind: route.Batch, SingleVersion: true, MaxAttempts: 3, Services: []route.Target{{Service: "s", Weight: 1}}}
	f.routes.Offer(route.New(2, []*route.Route{r}, nil, route.Limits{}))
}

// load lets all endpoints generate under a version, without the owner's knowledge.
func (f *fixture) load(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.version {
		f.version[id] = version
	}
}

// report makes the directory show the version that each endpoint serves.
func (f *fixture) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, version := range f.version {
		f.directory.Set(&fleet.Endpoint{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": version}})
	}
	f.directory.Publish()
}

// limitQueue makes the route limit how long an item may wait.
func (f *fixture) limitQueue(limit time.Duration) {
	r := &route.Route{Name: "r", Host: "h", Prefix: "/b/", Kind: route.Batch, MaxAttempts: 3, MaxQueue: limit, Services: []route.Target{{Service: "s", Weight: 1}}}
	f.routes.Offer(route.New(2, []*route.Route{r}, nil, route.Limits{}))
}

// failRuns lets the next runs of an item fail. The caller holds f.mu, or no owner runs yet.
func (f *fixture) failRuns(item string, count int) { f.failedRuns[item] = count }

func newFixture(endpoints int) *fixture {
	logger := slog.New(slog.DiscardHandler)
	f := &fixture{
		store: memory.New(nil), directory: fleet.NewDirectory(logger), routes: &route.Holder{},
		fails: map[string]error{}, failedRuns: map[string]int{}, version: map[string]int64{}, scoringEnds: map[string][]scoringEnd{}, runs: map[string]int{}, after: map[string][]int{}, scored: map[string]int{}, written: map[string]int{}, events: 4,
	}
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		f.version[id] = 1
		f.directory.Set(&fleet.Endpoint{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
	f.directory.Publish()
	r := &route.Route{Name: "r", Host: "h", Prefix: "/b/", Kind: route.Batch, MaxAttempts: 3, Services: []route.Target{{Service: "s", Weight: 1}}}
	f.routes.Offer(route.New(1, []*route.Route{r}, nil, route.Limits{}))
	return f
}

// Stream implements call.Streamer.
func (f *fixture) Stream(ctx context.Context, e *fleet.Endpoint, request *call.Request, after int, receiver call.Receiver) error {
	f.mu.Lock()
	f.runs[request.ID]++
	f.after[request.ID] = append(f.after[request.ID], after)
	f.started = append(f.started, request.ID)
	f.requests = append(f.requests, request)
	failure, breakAfter, gate, version, events := f.fails[request.ID], f.breakAfter, f.gate, f.version[e.ID], f.events
	padding, isEndless := f.endless[e.ID]
	if f.failedRuns[request.ID] > 0 {
		f.failedRuns[request.ID]--
		failure = call.ErrFailed.New("status 500")
	}
	f.mu.Unlock()
	if isEndless {
		events = math.MaxInt
	}
	if failure != nil {
		return failure
	}
	if request.Version > 0 && request.Version != version {
		return call.ErrMisdirected.New("version %d", version)
	}
	if err := receiver.Start(call.Start{Header: http.Header{}, Version: version}); err != nil {
		return err
	}
	for n := after + 1; n <= events; n++ {
		if gate != nil {
			select {
			case <-gate:
			case <-ctx.Done():
				return call.ErrEnded.New("cancelled")
			}
		}
		if breakAfter > 0 && n > after+breakAfter {
			return call.ErrBroken.New("reset")
		}
		f.mu.Lock()
		changed := f.version[e.ID]
		f.mu.Unlock()
		if err := receiver.Event(call.Event{ID: n, Data: fmt.Sprintf("%s-%d%*s", request.ID, n, padding, ""), Version: changed}); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.written[request.ID]++
	f.mu.Unlock()
	return nil
}

// scoringEnd is one way in which a scoring call ends: with an answer of a status, or an error.
type scoringEnd struct {
	status int
	err    error
}

// scoreAttempts is the number of attempts that the route of the scoring calls allows.
const scoreAttempts = 3

// score implements Scorer.
func (f *fixture) score(_ context.Context, reward *recordpb.Reward) (*call.Answer, int, error) {
	id := strings.TrimPrefix(reward.GetId(), "score-")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scored[id]++
	if f.written[id] == 0 {
		f.scoredEarly = append(f.scoredEarly, id)
	}
	if ends := f.scoringEnds[id]; len(ends) > 0 {
		f.scoringEnds[id] = ends[1:]
		if ends[0].err != nil {
			return nil, scoreAttempts, ends[0].err
		}
		return &call.Answer{Status: ends[0].status, Stamp: "failed-" + id}, scoreAttempts, nil
	}
	return &call.Answer{Status: http.StatusOK, Stamp: "stamp-" + id}, scoreAttempts, nil
}

// owner acquires the unit for a node and returns an Owner for it.
func (f *fixture) owner(t *testing.T, node string) *Owner {
	t.Helper()
	o := f.ownerOf(f.acquireUnit(t, node))
	t.Cleanup(o.Stop)
	return o
}

func (f *fixture) ownerOf(unit cluster.Unit) *Owner {
	return NewOwner(context.Background(), OwnerOptions{
		Unit: unit, Service: "s", Zone: "z", Store: f.store, Directory: f.directory, Routes: f.routes,
		Streamer: f, Scorer: f.score, ScoreSlots: func() int { return 8 }, Status: time.Minute, Logger: slog.New(slog.DiscardHandler),
	})
}

// acquireUnit writes the unit's key as the cluster package does.
func (f *fixture) acquireUnit(t require.TestingT, node string) cluster.Unit {
	unit := cluster.Unit{Name: testUnit, Owner: node}
	unit.Epoch = f.store.Write(unit.Condition().Key, []byte(fmt.Sprintf(`{"owner":%q}`, node)))
	return unit
}

// service returns a service on the fixture's store, with a cluster that knows no other
// nodes.
func (f *fixture) service() *Service {
	logger := slog.New(slog.DiscardHandler)
	var s *Service
	c := cluster.New(cluster.Options{Self: cluster.Node{Name: "self"}, Store: f.store, Logger: logger, Open: func(e metastore.Event) { s.Changed(e) }})
	s = NewService(Options{Store: f.store, Cluster: c, OwnershipConfirmed: func() bool { return !f.unconfirmed }, Logger: logger})
	return s
}

// submissionOf returns a submission with the given number of groups, each with size
// items.
func submissionOf(id string, groups, size int, minVersion int64) *recordpb.Submission {
	s := &recordpb.Submission{Id: id, Host: "h", Path: "/b/" + id, Model: "m", MinVersion: minVersion, WantedGroups: int32(groups)}
	for g := range groups {
		for i := range size {
			item := fmt.Sprintf("i%d-%d", g, i)
			s.Items = append(s.Items, &recordpb.Item{
				Id: item, Path: "/b/x", Group: fmt.Sprint("g", g), Tokens: 10,
				Reward: &recordpb.Reward{Id: "score-" + item, Host: "h", Path: "/score"},
			})
		}
	}
	return s
}

// allResults waits until all results are listed and returns them.
func allResults(t *testing.T, s *Service, id string, total int) []*recordpb.Result {
	t.Helper()
	var results []*recordpb.Result
	require.Eventually(t, func() bool {
		_, found, err := s.Read(context.Background(), id, 0, 0)
		results = found
		return err == nil && len(found) >= total
	}, testTimeout, pause)
	return results
}

// requireComplete checks that the results contain each item exactly once, with its complete
// text and its score.
func requireComplete(t *testing.T, f *fixture, submission *recordpb.Submission, results []*recordpb.Result) {
	t.Helper()
	var got, want []string
	for _, item := range submission.GetItems() {
		want = append(want, item.GetId())
	}
	for _, result := range results {
		got = append(got, result.GetId())
		var events []string
		for n := 1; n <= f.events; n++ {
			events = append(events, fmt.Sprintf("%s-%d", result.GetId(), n))
		}
		require.Equal(t, strings.Join(events, "\n"), result.GetOutput())
		require.Equal(t, "stamp-"+result.GetId(), result.GetScore())
		require.False(t, result.GetAbandoned())
		require.NotEmpty(t, result.GetVersions())
	}
	slices.Sort(got)
	slices.Sort(want)
	require.Equal(t, want, got)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Empty(t, f.scoredEarly)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func testNow() time.Time { return time.Unix(1_700_000_000, 0) }
