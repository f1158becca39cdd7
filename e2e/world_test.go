package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
)

const (
	model       = "permits"
	application = "register"
	// patience bounds every wait of a test; it is no promise.
	patience = 60 * time.Second
	// logTail is the number of log lines shown when a test fails.
	logTail = 80
)

// classes of the tests: an interactive one, one for updates and one for steps.
const classes = `classes:
  - name: lookup
    lateness: 20s
    freshness: none
    completeness: 99%
  - name: update
    lateness: 20s
    freshness: none
    completeness: 99%
  - name: training
    lateness: 10m
    freshness: 2 versions
    completeness: 90%
`

// shape says how many of each a world has at its start.
type shape struct {
	entries, engines, services int
	engineArgs, serviceArgs    []string
	listLag                    time.Duration
}

// world is a running cluster.
type world struct {
	*proctest.Cluster
	t      *testing.T
	log    *proctest.Log
	folder string
	births int // entries started
}

// newWorld lets the test run beside others, and returns when all entries serve.
func newWorld(t *testing.T, s shape) *world {
	t.Helper()
	t.Parallel()
	w := &world{t: t, log: &proctest.Log{}, folder: t.TempDir()}
	layout := proctest.Layout{Binaries: binaries, Folder: w.folder, Log: w.log, ListLag: s.listLag, ListTTL: 3 * time.Second}
	cluster, err := proctest.NewCluster(layout)
	t.Cleanup(w.finish)
	w.Cluster = cluster
	require.NoError(t, err)
	for i := range s.engines {
		_, err := w.StartEngine(fmt.Sprintf("engine%d", i), domain(i), model, append([]string{"--version", "1", "--time-scale", "0.5"}, s.engineArgs...)...)
		require.NoError(t, err)
	}
	for i := range s.services {
		_, err := w.StartService(fmt.Sprintf("service%d", i), domain(i), application, s.serviceArgs...)
		require.NoError(t, err)
	}
	for range s.entries {
		w.startEntry()
	}
	w.applyClasses(classes)
	w.awaitServing(s)
	return w
}

func domain(i int) string {
	return fmt.Sprintf("fd%d", i%4)
}

// startEntry starts an entry with a new identifier.
func (w *world) startEntry() *proctest.Entry {
	w.t.Helper()
	w.births++
	entry, err := w.Cluster.StartEntry(fmt.Sprintf("entry%d", w.births), domain(w.births), "--log-level", "INFO")
	require.NoError(w.t, err)
	return entry
}

// applyClasses makes a document of classes the one in force.
func (w *world) applyClasses(document string) {
	w.t.Helper()
	output, err := w.class("apply", document)
	require.NoError(w.t, err, "%s", output)
}

// class runs the operator's command with a document.
func (w *world) class(action, document string) (string, error) {
	path := filepath.Join(w.t.TempDir(), "classes.yaml")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		return "", err
	}
	return w.operate("class", action, "-f", path)
}

func (w *world) operate(args ...string) (string, error) {
	command := exec.Command(binaries.Entry, append(args, "--entry", w.Entries()[0].InternalAddress())...)
	output, err := command.CombinedOutput()
	return string(output), err
}

// awaitServing waits until each entry serves each kind of work.
func (w *world) awaitServing(s shape) {
	w.t.Helper()
	for _, entry := range w.Entries() {
		w.awaitEntry(entry, s)
	}
	require.Eventually(w.t, func() bool { return w.readyBackends() == len(w.Entries()) }, patience, 10*time.Millisecond)
}

func (w *world) awaitEntry(entry *proctest.Entry, s shape) {
	w.t.Helper()
	c := newCaller(w, entry.CallerAddress())
	require.Eventually(w.t, func() bool {
		return (s.engines == 0 || c.complete(question{prompt: "warm up " + entry.ID, tokens: 1}).whole) &&
			(s.services == 0 || c.lookup("/warm-up").outcome == outcomeAnswered)
	}, patience, 50*time.Millisecond, "%s does not serve", entry.ID)
}

func (w *world) readyBackends() int {
	var backends []struct {
		IsReady bool `json:"is_ready"`
	}
	control := proctest.Control{Address: w.Balancer.Addresses[1]}
	if err := control.Get("/backends", &backends); err != nil {
		return 0
	}
	ready := 0
	for _, backend := range backends {
		if backend.IsReady {
			ready++
		}
	}
	return ready
}

func (w *world) finish() {
	if w.Cluster == nil {
		return
	}
	assert.NoError(w.t, w.Close())
	if w.t.Failed() {
		lines := strings.Split(w.log.String(), "\n")
		w.t.Log(strings.Join(lines[max(0, len(lines)-logTail):], "\n"))
	}
}
