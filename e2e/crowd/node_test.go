package crowds

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/crowd"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

const (
	// nodeBody is just below the largest body in the configuration.
	nodeBody = 7_900_000
	// ordinaryTimeout bounds one try of an ordinary request.
	ordinaryTimeout = 5 * time.Second
)

// The parts of a crowd before a node.
var (
	nodeLargeChunks = crowd.Behavior{Name: "large chunks", Clients: 24, Send: crowd.Chunked(crowd.Head("POST", "/held/x"), nodeBody, 256<<10, true)}
	nodeByteChunks  = crowd.Behavior{Name: "chunks of one byte", Clients: 96, Send: crowd.Chunked(crowd.Head("POST", "/lookup/x"), 1_000_000, 1, false)}
	nodeStopsShort  = crowd.Behavior{Name: "stops short of the end", Clients: 24, Send: crowd.Chunked(crowd.Head("POST", "/lookup/x"), nodeBody, 64<<10, false)}
	nodeLengthOnly  = crowd.Behavior{Name: "stated length never sent", Clients: 600, Send: crowd.Stated(crowd.Head("POST", "/lookup/x"), nodeBody, "")}
	nodeHeads       = crowd.Behavior{Name: "heads never finished", Clients: 600, Send: crowd.Text(crowd.Head("GET", "/lookup/x", "X-Filler: "+strings.Repeat("x", 8<<10)))}
	nodeStreams     = crowd.Behavior{Name: "streams never read", Clients: 300, Unread: true, Send: crowd.Text(crowd.Head("POST", "/chat/x") + "Content-Length: 0\r\n\r\n")}
	nodeAnswers     = crowd.Behavior{Name: "answers never read", Clients: 120, Unread: true, Send: crowd.Text(strings.Repeat(crowd.Head("GET", "/large/x")+"\r\n", 32))}
	nodeSubmissions = crowd.Behavior{Name: "submissions half sent", Clients: 40, Send: crowd.Stated(crowd.Head("POST", "/draft/x"), nodeBody, `{"step":1,"items":[{"body":"`+strings.Repeat("A", nodeBody/2))}
	nodeParts       = []crowd.Behavior{nodeLargeChunks, nodeByteChunks, nodeStopsShort, nodeLengthOnly, nodeHeads, nodeStreams, nodeAnswers, nodeSubmissions}
)

func TestCrowdNodeLargeChunks(t *testing.T)     { withstand(t, startNode(t, 1), nodeLargeChunks) }
func TestCrowdNodeByteChunks(t *testing.T)      { withstand(t, startNode(t, 2), nodeByteChunks) }
func TestCrowdNodeStopsShort(t *testing.T)      { withstand(t, startNode(t, 3), nodeStopsShort) }
func TestCrowdNodeLengthOnly(t *testing.T)      { withstand(t, startNode(t, 4), nodeLengthOnly) }
func TestCrowdNodeHeads(t *testing.T)           { withstand(t, startNode(t, 5), nodeHeads) }
func TestCrowdNodeStreamsUnread(t *testing.T)   { withstand(t, startNode(t, 6), nodeStreams) }
func TestCrowdNodeAnswersUnread(t *testing.T)   { withstand(t, startNode(t, 7), nodeAnswers) }
func TestCrowdNodeSubmissionsHalf(t *testing.T) { withstand(t, startNode(t, 8), nodeSubmissions) }
func TestCrowdNodeAllTogether(t *testing.T)     { withstand(t, startNode(t, 9), nodeParts...) }

func TestCrowdNodeManyFiles(t *testing.T) {
	withstand(t, startNodeWith(t, 11, memoryMB, manyFiles, (*platformtest.Store).ConfigureForCrowd), nodeParts...)
}

// startNode starts a store, endpoints and a node with a loopback address of its own.
func startNode(t *testing.T, number int) subject {
	t.Helper()
	return startNodeWith(t, number, memoryMB, maxFiles, (*platformtest.Store).ConfigureForCrowd)
}

// startNodeWith is startNode with other settings and another configuration.
func startNodeWith(t *testing.T, number, memory, files int, configure func(*platformtest.Store)) subject {
	t.Helper()
	store := startPlatform(t)
	configure(store)
	host := fmt.Sprintf("127.200.%d.%d", os.Getpid()%250+1, number)
	at := func(port int) string { return fmt.Sprintf("%s:%d", host, port) }
	log := &proctest.Log{}
	process, err := proctest.Start(proctest.Spec{
		Name: "node", Path: binaries.Entry, Log: log, NoReadyLine: true,
		Args: []string{
			"node", "--name", "node", "--failure-domain", "z0", "--listen", at(7001), "--ready-listen", at(7002),
			"--peer-listen", at(7003), "--metrics-listen", at(7004), "--store-address", store.Address(),
			"--memory", strconv.Itoa(memory), "--max-files", strconv.Itoa(files),
		},
	})
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	t.Cleanup(func() { logTail(t, log) })
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return subject{process: process, address: at(7001), maxFiles: files, ordinary: func() bool {
		request, err := platformtest.Request(http.MethodGet, at(7001), "/lookup/x", "ordinary", nil)
		return err == nil && answered(client, request)
	}}
}

// startPlatform starts a store with the records of the endpoints, which it starts too.
func startPlatform(t *testing.T) *platformtest.Store {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	for _, e := range []*platformtest.Endpoint{
		{ID: "app-0", Service: "app", Zone: "z0"},
		{ID: "large-0", Service: "large", Zone: "z0", Padding: strings.Repeat("x", 1_000_000)},
		{ID: "held-0", Service: "held", Zone: "z0", Hold: hold},
		{ID: "lm-0", Service: "lm", Zone: "z0", Model: "m", Events: 2000, Gap: time.Millisecond, Padding: strings.Repeat("x", 16<<10)},
	} {
		e = platformtest.NewEndpoint(e)
		t.Cleanup(e.Close)
		store.Write(e.Key(), e.Record("ready"))
	}
	return store
}

// answered sends a request and reports whether its answer has status 200.
func answered(client *http.Client, request *http.Request) bool {
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logTail shows the last lines of a failed test's processes.
func logTail(t *testing.T, log *proctest.Log) {
	const shown = 30
	if t.Failed() {
		lines := strings.Split(log.String(), "\n")
		t.Log(strings.Join(lines[max(0, len(lines)-shown):], "\n"))
	}
}
