package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Ports of a node on its own loopback address.
const (
	portCallers  = 8161
	portReady    = 8167
	portPeers    = 7720
	host         = "h.example"
	maxPageBytes = 1 << 20
	// groupSize is the number of items in a group of a step.
	groupSize = 8
)

// world is a small deployment: the platform's store and any number of nodes. It belongs to one run
// of a case.
type world struct {
	dir     string
	trouble bool
	began   time.Time
	store   *memory.Store
	address string
	nodes   []*node
	// addresses are those at which the nodes find the store, in their order; if there are none, the
	// nodes call it directly.
	addresses []string

	mu     sync.Mutex
	record *os.File
	broken int
}

// newWorld starts the store. The caller must call close.
func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "case3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: memory.New(nil), record: record}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: w.storeHandler(), ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return w, nil
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) { w.noteAt(time.Now(), format, args...) }

// noteAt writes a line about a moment to the record.
func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	w.broken++
	w.mu.Unlock()
	w.note("BROKEN: "+format, args...)
}

// storeHandler serves the platform's store. Pages of a range have at most about 1 MB, as
// PROTOCOL.md says; the project's own stand-in bounds only the number of items.
func (w *world) storeHandler() http.Handler {
	calls := platformtest.StoreHandler(w.store, nil)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kv-range" {
			calls.ServeHTTP(rw, r)
			return
		}
		page, err := w.store.Range(r.Context(), r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
		if err != nil {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(rw).Encode(wirePage(page)) // the caller may have disconnected
	})
}

type wireItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

func wirePage(page metastore.Page) map[string]any {
	items, size := []wireItem{}, 0
	for _, i := range page.Items {
		size += len(i.Key) + len(i.Value)
		if size > maxPageBytes && len(items) > 0 {
			page.More = true
			break
		}
		items = append(items, wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Created: i.Created, Lease: i.Lease})
	}
	return map[string]any{"items": items, "has_more": page.More, "store_revision": page.Revision}
}

// node is one front machine.
type node struct {
	world    *world
	name, ip string
	settings string

	mu      sync.Mutex
	process *proctest.Process
}

// Values for the template of the settings, those of the installation hydrometra-rollout.
const memoryMB = 284

// startNodes starts nodes with the command and the settings template of the deploy file, and waits until
// they are ready.
func (w *world) startNodes(n int) error {
	template, err := os.ReadFile(filepath.Join("deploy", "node.settings"))
	if err != nil {
		return err
	}
	for i := range n {
		pid := os.Getpid()
		nd := &node{world: w, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%128, pid%256, i+1)}
		nd.settings = filepath.Join(w.dir, nd.name+".settings")
		text := render(string(template), map[string]string{
			"node": nd.name, "zone": fmt.Sprintf("zone-%d", i%4), "ip": nd.ip,
			"listen.front": fmt.Sprintf("%s:%d", nd.ip, portCallers), "listen.ready": fmt.Sprintf("%s:%d", nd.ip, portReady),
			"internal_ports.0": strconv.Itoa(portPeers), "provider.address": w.addressFor(i),
			"bounds.grace_s": "8", "bounds.status_s": "120", "limits.memory_mb": strconv.Itoa(memoryMB),
			"limits.cpu_share": "0.4", "limits.max_fds": "4100",
		})
		if err := os.WriteFile(nd.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := nd.start(); err != nil {
			return err
		}
		w.nodes = append(w.nodes, nd)
	}
	return w.awaitReady(30 * time.Second)
}

// addressFor returns the address at which a node finds the store.
func (w *world) addressFor(i int) string {
	if i < len(w.addresses) {
		return w.addresses[i]
	}
	return w.address
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template. Sections are left out: this deployment has none of their values.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllString(template, "")
	return placeholder.ReplaceAllStringFunc(template, func(match string) string { return values[strings.Trim(match, "{}")] })
}

func (n *node) start() error {
	process, err := proctest.Start(proctest.Spec{
		Name: n.name, Path: filepath.Join("target", "comfreyfront"), Args: []string{"node"},
		Env: []string{"COMFREYFRONT_NODE_FILE=" + n.settings}, NoReadyLine: true, Log: logOf(),
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	return nil
}

// logOf returns where the logs of nodes go: to standard error with LOGS=1.
func logOf() io.Writer {
	if os.Getenv("LOGS") == "1" {
		return os.Stderr
	}
	return nil
}

func (n *node) running() *proctest.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (n *node) kill() {
	n.mu.Lock()
	process := n.process
	n.process = nil
	n.mu.Unlock()
	if process != nil {
		process.Kill()
	}
}

func (n *node) callers() string { return fmt.Sprintf("%s:%d", n.ip, portCallers) }

func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return errors.New("the nodes are not ready")
}

// client is a caller without kept connections.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request and returns the status and the whole body of its answer. The status is zero
// if no complete answer arrived within the limit.
func call(n *node, method, path, id string, body []byte, limit time.Duration) (int, []byte) {
	status, _, content := exchange(n, method, path, id, body, limit)
	return status, content
}

// exchange is call that also returns the fields of the answer's head.
func exchange(n *node, method, path, id string, body []byte, limit time.Duration) (int, http.Header, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, response.Header, content
}
