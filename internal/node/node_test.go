package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

const (
	waitLimit    = 60 * time.Second
	pollInterval = 5 * time.Millisecond
)

// system runs a store, endpoints and nodes on loopback.
type system struct {
	t       testing.TB
	store   *platformtest.Store
	engines []*platformtest.Endpoint
	plain   *platformtest.Endpoint
	nodes   map[string]*testNode
	client  *http.Client
	// configure changes the settings of nodes that are started afterwards; it may be nil.
	configure func(*settings.Node)
	logger    *slog.Logger
	// prepare, if not nil, is called with each node before it runs.
	prepare func(*Node)
}

type testNode struct {
	node    *Node
	address string
	ready   string
	cancel  context.CancelFunc
	done    chan struct{}
	err     error // result of run, valid once done is closed
}

func address(l net.Listener) string { return l.Addr().String() }

func newSystem(t testing.TB) *system {
	t.Helper()
	s := &system{t: t, store: platformtest.NewStore(), nodes: map[string]*testNode{}, logger: slog.New(slog.DiscardHandler), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(s.store.Close)
	for i := range 3 {
		e := platformtest.NewEndpoint(&platformtest.Endpoint{ID: fmt.Sprintf("lm-%d", i), Service: "lm", Zone: "z", Model: "m", Events: 5, Gap: time.Millisecond})
		t.Cleanup(e.Close)
		s.engines = append(s.engines, e)
		s.store.Write(e.Key(), e.Record("ready"))
	}
	s.plain = platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-0", Service: "app", Zone: "z"})
	t.Cleanup(s.plain.Close)
	s.store.Write(s.plain.Key(), s.plain.Record("ready"))
	s.store.WriteMalformedEndpoint()
	s.store.Configure(1, "")
	return s
}

// anyPort is a loopback address with a port that the kernel chooses.
const anyPort = "127.0.0.1:0"

// start starts a node and waits until it is ready.
func (s *system) start(name string) *testNode {
	s.t.Helper()
	n := s.launch(name)
	require.Eventually(s.t, func() bool {
		response, err := s.client.Get("http://" + n.ready + "/ready")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitLimit, pollInterval)
	return n
}

// launch starts a node without waiting until it is ready.
func (s *system) launch(name string) *testNode {
	s.t.Helper()
	config := settings.DefaultNode()
	config.Name, config.FailureDomain = name, "z"
	config.Listen, config.ReadyListen, config.PeerListen = anyPort, anyPort, anyPort
	open, err := listen(config)
	require.NoError(s.t, err)
	config.Listen, config.ReadyListen, config.PeerListen = address(open.front), address(open.ready), address(open.peer)
	config.StoreAddress = s.store.Address()
	config.Grace = 5 * time.Second
	if s.configure != nil {
		s.configure(config)
	}
	require.NoError(s.t, config.Check())
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{node: build(config, s.logger.With(slog.String("node", name))), address: config.Listen, ready: config.ReadyListen, cancel: cancel, done: make(chan struct{})}
	if s.prepare != nil {
		s.prepare(n.node)
	}
	go func() { defer close(n.done); n.err = n.node.run(ctx, open) }()
	s.nodes[name] = n
	s.t.Cleanup(func() {
		for _, other := range s.nodes {
			other.cancel() // all nodes leave at the same time
		}
		<-n.done
		require.NoError(s.t, n.err)
	})
	return n
}

// awaitEndpoint waits until the node knows an endpoint.
func (n *testNode) awaitEndpoint(t *testing.T, id string) {
	t.Helper()
	require.Eventually(t, func() bool { _, known := n.node.directory.Find(id); return known }, waitLimit, pollInterval)
}

func (s *system) call(n *testNode, method, path, id string, body []byte) (int, []byte) {
	s.t.Helper()
	return s.callAs(n, "", method, path, id, body)
}

// callAs sends a request with the key of an account; an empty key is not sent.
func (s *system) callAs(n *testNode, key, method, path, id string, body []byte) (int, []byte) {
	s.t.Helper()
	request, err := platformtest.Request(method, n.address, path, id, body)
	require.NoError(s.t, err)
	if key != "" {
		platformtest.SetKey(request, key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return response.StatusCode, content
}

func (s *system) submit(n *testNode, id string, items int) {
	s.t.Helper()
	body := platformtest.Submission(id, items)
	require.Eventually(s.t, func() bool {
		status, _ := s.call(n, "POST", "/draft/"+id, id, body)
		return status == http.StatusAccepted
	}, waitLimit, pollInterval)
}

func (s *system) results(n *testNode, id string, want int) platformtest.Page {
	s.t.Helper()
	var p platformtest.Page
	require.Eventually(s.t, func() bool {
		status, content := s.call(n, "GET", platformtest.ResultsPath(id)+"?after=0", "", nil)
		var err error
		p, err = platformtest.DecodePage(content)
		return status == http.StatusOK && err == nil && p.Next >= want
	}, waitLimit, pollInterval)
	return p
}

func (s *system) requireComplete(p platformtest.Page, id string, items int) {
	s.t.Helper()
	seen := map[string]bool{}
	for _, result := range p.Results {
		require.False(s.t, seen[result.ID])
		seen[result.ID] = true
		require.Equal(s.t, "completed", result.State)
		var events []string
		for n := 1; n <= 5; n++ {
			events = append(events, fmt.Sprintf("%s-%d", result.ID, n))
		}
		require.Equal(s.t, strings.Join(events, "\n"), result.Output)
		require.Equal(s.t, "stamp-s-"+result.ID, result.Score)
	}
	require.Len(s.t, seen, items, id)
}

// owner returns the node that owns the engines' unit.
func (s *system) owner() (string, *testNode) {
	s.t.Helper()
	var name string
	require.Eventually(s.t, func() bool {
		for candidate, n := range s.nodes {
			if n.node.ownsUnits() {
				name = candidate
				return true
			}
		}
		return false
	}, waitLimit, pollInterval)
	return name, s.nodes[name]
}

func TestCallsWorkThroughAnyNode(t *testing.T) {
	s := newSystem(t)
	first, second := s.start("n1"), s.start("n2")
	status, content := s.call(second, "POST", "/lookup/x", "req-1", []byte("b"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "answer of req-1", string(content))
	status, _ = s.call(second, "POST", "/none/x", "req-2", nil)
	require.Equal(t, http.StatusNotFound, status)
	s.engines[0].BreakStreams(3)
	s.submit(first, "a", 8)
	s.submit(second, "b", 8)
	for _, n := range []*testNode{first, second} {
		s.requireComplete(s.results(n, "a", 8), "a", 8)
		s.requireComplete(s.results(n, "b", 8), "b", 8)
	}
	status, _ = s.call(second, "GET", platformtest.ResultsPath("never"), "", nil)
	require.Equal(t, http.StatusNotFound, status)
	status, content = s.call(second, "GET", platformtest.BodyPath("a", "a-0"), "", nil)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, []byte{1, 2}, content)
	status, _ = s.call(first, "DELETE", platformtest.ResultsPath("a"), "", nil)
	require.Equal(t, http.StatusOK, status)
	s.requireComplete(s.results(second, "a", 8), "a", 8)
}

func TestConfigurationAndDrainingTakeEffect(t *testing.T) {
	s := newSystem(t)
	n := s.start("n1")
	s.store.Configure(2, platformtest.ExtraRoute)
	require.Eventually(t, func() bool { status, _ := s.call(n, "POST", "/new/x", "r", nil); return status == http.StatusOK }, waitLimit, pollInterval)
	s.store.Configure(1, "")
	second := platformtest.NewEndpoint(&platformtest.Endpoint{ID: "app-1", Service: "app", Zone: "z"})
	t.Cleanup(second.Close)
	s.store.Write(second.Key(), second.Record("ready"))
	s.store.Write(s.plain.Key(), s.plain.Record("draining"))
	require.Eventually(t, func() bool {
		e, known := n.node.directory.Find("app-0")
		_, secondKnown := n.node.directory.Find("app-1")
		return known && secondKnown && e.Draining
	}, waitLimit, pollInterval)
	for i := range 20 {
		id := fmt.Sprintf("after-%d", i)
		status, _ := s.call(n, "POST", "/new/x", id, nil)
		require.Equal(t, http.StatusOK, status, "an older configuration does not replace a newer one")
		require.Equal(t, 0, s.plain.Runs(id), "a draining endpoint gets no new work")
	}
}

// TestSubmissionSurvivesLeavingOwner stops the owner in the middle of a submission
// and checks that another node finishes it.
func TestSubmissionSurvivesLeavingOwner(t *testing.T) {
	s := newSystem(t)
	s.start("n1")
	s.start("n2")
	name, owner := s.owner()
	other := s.nodes["n1"]
	if name == "n1" {
		other = s.nodes["n2"]
	}
	s.submit(owner, "a", 12)
	owner.cancel()
	s.requireComplete(s.results(other, "a", 12), "a", 12)
	<-owner.done
	s.requireComplete(s.results(other, "a", 12), "a", 12)
}

// TestOutageOfTheStore checks that acknowledged submissions are readable after a
// store outage, that plain requests are served during it, and that submissions are
// refused with a status which means that they were not accepted.
func TestOutageOfTheStore(t *testing.T) {
	s := newSystem(t)
	n := s.start("n1")
	s.owner()
	s.submit(n, "a", 8)
	s.results(n, "a", 8)
	s.store.SetFaults(memory.Faults{Down: true})
	status, _ := s.call(n, "POST", "/lookup/x", "during", nil)
	require.Equal(t, http.StatusOK, status)
	status, _ = s.call(n, "POST", "/draft/b", "b", platformtest.Submission("b", 2))
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, _ = s.call(n, "GET", platformtest.ResultsPath("unknown"), "", nil)
	require.Equal(t, http.StatusServiceUnavailable, status, "no 404 while the store cannot be read")
	s.store.SetFaults(memory.Faults{})
	s.requireComplete(s.results(n, "a", 8), "a", 8)
	s.submit(n, "c", 4)
	s.requireComplete(s.results(n, "c", 4), "c", 4)
}

// TestSubmissionSurvivesRestartOfAllNodes stops all nodes at the same time and
// starts one again. No acknowledged submission may be lost.
func TestSubmissionSurvivesRestartOfAllNodes(t *testing.T) {
	s := newSystem(t)
	first, second := s.start("n1"), s.start("n2")
	s.submit(first, "a", 8)
	first.cancel()
	second.cancel()
	<-first.done
	<-second.done
	restarted := s.start("n1")
	s.requireComplete(s.results(restarted, "a", 8), "a", 8)
}

// TestNamedVersionReachesAllEngines checks that all engines load the weight version
// that a trainer named.
func TestNamedVersionReachesAllEngines(t *testing.T) {
	s := newSystem(t)
	n := s.start("n1")
	s.store.NameVersion("m", 2)
	require.Eventually(t, func() bool {
		for _, e := range n.node.directory.Of("lm") {
			if e.Version("m") < 2 {
				return false
			}
		}
		return true
	}, waitLimit, pollInterval)
}

// TestRetireRequestIsAnsweredAtOnce checks that a node reports an instance as empty
// as soon as the operator requests it, since instances hold no persistent data.
func TestRetireRequestIsAnsweredAtOnce(t *testing.T) {
	s := newSystem(t)
	s.start("n1")
	s.store.RequestRetire("storage-1")
	require.Eventually(t, func() bool { return s.store.IsRetired("storage-1") }, waitLimit, pollInterval)
}

// TestOnlyHubsWatchTheStore checks that only the hubs watch the store, that the
// other nodes still receive a new configuration, and that they keep receiving new
// ones after the hubs have stopped.
func TestOnlyHubsWatchTheStore(t *testing.T) {
	s := newSystem(t)
	for i := range 5 {
		s.start(fmt.Sprintf("n%d", i))
	}
	following := func() (hubs, others []*testNode) {
		for _, n := range s.nodes {
			if _, follows := n.node.hubs.choose(); follows {
				others = append(others, n)
			} else {
				hubs = append(hubs, n)
			}
		}
		return hubs, others
	}
	require.Eventually(t, func() bool { hubs, _ := following(); return len(hubs) == minHubs }, waitLimit, pollInterval)
	s.store.Configure(2, platformtest.ExtraRoute)
	for _, n := range s.nodes {
		require.Eventually(t, func() bool { return n.node.routes.Load().Version == 2 }, waitLimit, pollInterval)
	}
	hubs, others := following()
	for _, hub := range hubs {
		hub.cancel()
	}
	s.store.Configure(3, platformtest.ExtraRoute)
	for _, n := range others {
		require.Eventually(t, func() bool { return n.node.routes.Load().Version == 3 }, waitLimit, pollInterval)
	}
}

// TestListenErrorNamesTheAddress checks that a port in use fails the start with an
// error that names the address.
func TestListenErrorNamesTheAddress(t *testing.T) {
	listener, err := net.Listen("tcp", anyPort)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	config := settings.DefaultNode()
	config.Listen, config.ReadyListen, config.PeerListen = anyPort, anyPort, address(listener)
	_, err = listen(config)
	require.ErrorContains(t, err, "other nodes")
	require.ErrorContains(t, err, address(listener))
}

// TestReportCoversAllNodes checks that the report of any node counts the requests
// that ended on all nodes.
func TestReportCoversAllNodes(t *testing.T) {
	s := newSystem(t)
	first, second := s.start("n1"), s.start("n2")
	require.Eventually(t, func() bool { return len(first.node.cluster.Nodes()) == 1 }, waitLimit, pollInterval)
	for i, n := range []*testNode{first, second, second} {
		status, _ := s.call(n, "POST", "/lookup/x", fmt.Sprintf("r%d", i), nil)
		require.Equal(t, http.StatusOK, status)
	}
	s.submit(first, "a", 4)
	s.results(second, "a", 4)
	status, _ := s.call(second, "DELETE", platformtest.ResultsPath("a"), "", nil)
	require.Equal(t, http.StatusOK, status)
	server := httptest.NewServer(first.node.metricsHandler())
	t.Cleanup(server.Close)
	client := operator.NewClient(strings.TrimPrefix(server.URL, "http://"), s.client)
	var text string
	ended := regexp.MustCompile(`draft: \S+, \S+ of 1 in time`)
	require.Eventually(t, func() bool {
		var err error
		text, err = client.Report(t.Context())
		return err == nil && ended.MatchString(text)
	}, waitLimit, pollInterval, "the owner counts the end of the submission")
	require.Contains(t, text, "2 of 2 nodes heard")
	require.Regexp(t, `lookup: \S+, \S+ of 3 in time`, text)
	require.Contains(t, text, "score: not known", "scoring calls made by nodes are not counted as callers' requests")
}
