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
	// waitLimit bounds every wait of a test; it is not a guarantee.
	waitLimit = 60 * time.Second
	// logTail is the number of log lines shown when a test fails.
	logTail = 80
)

// classes is the class configuration of the tests: one class for lookups and completions, one for
// updates and one for steps.
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

// clusterSpec describes the processes of a cluster at its start.
type clusterSpec struct {
	entries, engines, services int
	engineArgs, serviceArgs    []string
	listLag                    time.Duration
}

// environment is the running cluster of one test.
type environment struct {
	*proctest.Cluster
	t              *testing.T
	log            *proctest.Log
	folder         string
	entriesStarted int // including those that have exited
}

// newEnvironment marks the test as parallel, starts a cluster and waits until all entries serve.
func newEnvironment(t *testing.T, s clusterSpec) *environment {
	t.Helper()
	t.Parallel()
	env := &environment{t: t, log: &proctest.Log{}, folder: t.TempDir()}
	layout := proctest.Layout{Binaries: binaries, Folder: env.folder, Log: env.log, ListLag: s.listLag, ListTTL: 3 * time.Second}
	cluster, err := proctest.NewCluster(layout)
	t.Cleanup(env.finish)
	env.Cluster = cluster
	require.NoError(t, err)
	for i := range s.engines {
		_, err := env.StartEngine(fmt.Sprintf("engine%d", i), failureDomain(i), model, append([]string{"--version", "1", "--time-scale", "0.5"}, s.engineArgs...)...)
		require.NoError(t, err)
	}
	for i := range s.services {
		_, err := env.StartService(fmt.Sprintf("service%d", i), failureDomain(i), application, s.serviceArgs...)
		require.NoError(t, err)
	}
	for range s.entries {
		env.startEntry()
	}
	env.applyClasses(classes)
	env.awaitServing(s)
	return env
}

func failureDomain(i int) string {
	return fmt.Sprintf("fd%d", i%4)
}

// startEntry starts an entry with an identifier that no other entry had.
func (env *environment) startEntry() *proctest.Entry {
	env.t.Helper()
	env.entriesStarted++
	entry, err := env.Cluster.StartEntry(fmt.Sprintf("entry%d", env.entriesStarted), failureDomain(env.entriesStarted), "--log-level", "INFO")
	require.NoError(env.t, err)
	return entry
}

// applyClasses applies a class configuration with the operator's command.
func (env *environment) applyClasses(document string) {
	env.t.Helper()
	output, err := env.runClassCommand("apply", document)
	require.NoError(env.t, err, "%s", output)
}

// runClassCommand runs an action of the operator's class command on a document.
func (env *environment) runClassCommand(action, document string) (string, error) {
	path := filepath.Join(env.t.TempDir(), "classes.yaml")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		return "", err
	}
	return env.runOperatorCommand("class", action, "-f", path)
}

// runOperatorCommand runs an operator's command against the first entry and returns its output.
func (env *environment) runOperatorCommand(args ...string) (string, error) {
	command := exec.Command(binaries.Entry, append(args, "--entry", env.Entries()[0].InternalAddress())...)
	output, err := command.CombinedOutput()
	return string(output), err
}

// awaitServing waits until each entry serves completions and lookups, and the balancer sees all
// entries as ready.
func (env *environment) awaitServing(s clusterSpec) {
	env.t.Helper()
	for _, entry := range env.Entries() {
		env.awaitEntry(entry, s)
	}
	require.Eventually(env.t, func() bool { return env.readyBackends() == len(env.Entries()) }, waitLimit, 10*time.Millisecond)
}

// awaitEntry waits until an entry serves completions and lookups, as far as the cluster has
// endpoints for them.
func (env *environment) awaitEntry(entry *proctest.Entry, s clusterSpec) {
	env.t.Helper()
	c := newCaller(env, entry.CallerAddress())
	require.Eventually(env.t, func() bool {
		return (s.engines == 0 || c.complete(completionRequest{prompt: "warm up " + entry.ID, tokens: 1}).complete) &&
			(s.services == 0 || c.lookup("/warm-up").outcome == outcomeAnswered)
	}, waitLimit, 50*time.Millisecond, "%s does not serve requests", entry.ID)
}

// readyBackends returns the number of entries that the balancer sees as ready.
func (env *environment) readyBackends() int {
	var backends []struct {
		IsReady bool `json:"is_ready"`
	}
	control := proctest.Control{Address: env.Balancer.Addresses[1]}
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

// finish stops the cluster and, if the test failed, logs the last logTail lines of its processes.
func (env *environment) finish() {
	if env.Cluster == nil {
		return
	}
	assert.NoError(env.t, env.Close())
	if env.t.Failed() {
		lines := strings.Split(env.log.String(), "\n")
		env.t.Log(strings.Join(lines[max(0, len(lines)-logTail):], "\n"))
	}
}
