package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Sizes of the environment, and times of its endpoints and calls.
const (
	zones        = 3
	engineCount  = 4
	serviceCount = 3
	// textEvents and eventGap make the generation of a text take about one second.
	textEvents = 20
	eventGap   = 50 * time.Millisecond
	// callTimeout bounds one call, including the read of the response.
	callTimeout = 4 * time.Second
	// keptConnections is how many idle connections to a node are kept.
	keptConnections = 4
	// exitWaitLimit bounds the wait for a node process to exit after SIGTERM.
	exitWaitLimit = 20 * time.Second
)

// Names of the services and of the model in the configuration.
const (
	serviceEngines = "lm"
	servicePlain   = "app"
	modelName      = "m"
)

// environment holds the processes and stand-ins of a run: a metadata store, endpoints and nodes.
type environment struct {
	options Options
	report  *Report
	store   *platformtest.Store
	// client opens a connection for each call, and kept uses its connections again until
	// their node closes them.
	client, kept *http.Client
	random       *rand.Rand
	nodes        []*node

	mu sync.Mutex
	// endpoints lists the running endpoints. started also lists those that were stopped, whose run
	// counts are still needed.
	endpoints []*platformtest.Endpoint
	started   []*platformtest.Endpoint
	// configVersion is the newest version of the configuration, weightVersion that of the weights.
	configVersion int
	weightVersion int
	// updates holds the status that each update got, by request identifier; zero means that no
	// complete response arrived.
	updates map[string]int
	// disturbances counts the faults in progress that are not planned work, and calmSince is
	// when the last one ended.
	disturbances int
	calmSince    time.Time
}

// node is a node process and its link to the store.
type node struct {
	env  *environment
	name string
	zone string
	host string
	link *proctest.Link

	mu      sync.Mutex
	process *proctest.Process
	// starts counts the processes started for this node. servedVersion is the newest version of the
	// configuration that the current process has served.
	starts        int
	servedVersion int
}

// Ports of a node. Each node has its own loopback address, so that its ports stay free while it has
// no process.
const (
	portCallers = 7001
	portReady   = 7002
	portPeers   = 7003
	portMetrics = 7004
)

func newEnvironment(options Options) (*environment, error) {
	env := &environment{
		options: options, report: &Report{}, store: platformtest.NewStore(), updates: map[string]int{}, configVersion: 0, weightVersion: 1,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		kept:   &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections}},
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	for i := range engineCount {
		env.addEndpoint(fmt.Sprintf("lm-%d", i), serviceEngines)
	}
	for i := range serviceCount {
		env.addEndpoint(fmt.Sprintf("app-%d", i), servicePlain)
	}
	env.writeNextConfiguration()
	for i := range options.Nodes {
		link, err := proctest.NewLink(env.store.Address())
		if err != nil {
			env.close()
			return nil, err
		}
		n := &node{env: env, name: fmt.Sprintf("node-%d", i), zone: fmt.Sprintf("z%d", i%zones), host: nodeHost(i), link: link}
		env.nodes = append(env.nodes, n)
		if err := n.start(); err != nil {
			env.close()
			return nil, err
		}
	}
	return env, nil
}

// nodeHost returns the loopback address of a node. It depends on the process id, so that concurrent
// runs use different addresses.
func nodeHost(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%128, pid%256, i+1)
}

// close kills all node processes and stops the endpoints and the store.
func (env *environment) close() {
	for _, n := range env.nodes {
		n.kill()
		n.link.Close()
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, e := range env.endpoints {
		e.Close()
	}
	env.store.Close()
}

// addEndpoint starts an endpoint and writes its record to the store.
func (env *environment) addEndpoint(id, service string) {
	e := &platformtest.Endpoint{ID: id, Service: service, Zone: "z0"}
	if service == serviceEngines {
		e.Model, e.Events, e.Gap = modelName, textEvents, eventGap
	}
	e = platformtest.NewEndpoint(e)
	env.mu.Lock()
	env.endpoints = append(env.endpoints, e)
	env.started = append(env.started, e)
	env.mu.Unlock()
	env.store.Write(e.Key(), e.Record("ready"))
}

// removeEndpoint removes a random endpoint from the running ones and returns it, or returns nil if
// it is the last of its service.
func (env *environment) removeEndpoint(random *rand.Rand) *platformtest.Endpoint {
	env.mu.Lock()
	defer env.mu.Unlock()
	chosen := random.IntN(len(env.endpoints))
	e := env.endpoints[chosen]
	sameService := 0
	for _, other := range env.endpoints {
		if other.Service == e.Service {
			sameService++
		}
	}
	if sameService < 2 {
		return nil
	}
	env.endpoints = append(env.endpoints[:chosen:chosen], env.endpoints[chosen+1:]...)
	return e
}

// runs returns how many times a request ran, over all endpoints that were ever started.
func (env *environment) runs(id string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, e := range env.started {
		n += e.Runs(id)
	}
	return n
}

// callerAddress returns the host:port on which the node accepts callers' requests.
func (n *node) callerAddress() string { return fmt.Sprintf("%s:%d", n.host, portCallers) }

// start starts a process for the node unless it already has one, which may be paused.
func (n *node) start() error {
	if n.running() != nil {
		return nil
	}
	process, err := proctest.Start(proctest.Spec{
		Name: n.name, Path: n.env.options.Binary, Log: n.env.options.Log, NoReadyLine: true,
		Args: []string{
			"node", "--name", n.name, "--failure-domain", n.zone,
			"--listen", n.callerAddress(), "--ready-listen", fmt.Sprintf("%s:%d", n.host, portReady),
			"--peer-listen", fmt.Sprintf("%s:%d", n.host, portPeers), "--metrics-listen", fmt.Sprintf("%s:%d", n.host, portMetrics),
			"--store-address", n.link.Address(), "--status-life", "10m", "--memory", strconv.Itoa(memoryMB),
		},
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.servedVersion = process, 0
	n.starts++
	return nil
}

// running returns the node's process, or nil if it was killed or has left.
func (n *node) running() *proctest.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// kill kills the process, if there is one.
func (n *node) kill() {
	n.mu.Lock()
	process := n.process
	n.process = nil
	n.mu.Unlock()
	if process != nil {
		process.Kill()
	}
}

// terminations is how often a process that is to exit gets SIGTERM.
const terminations = 2

// leave sends SIGTERM to the process, if there is one, and waits for it to exit. It records a
// violation if the process does not exit with code 0 within exitWaitLimit, and kills it.
func (n *node) leave() {
	process := n.running()
	if process == nil {
		return
	}
	process.Resume() // another fault may have paused it, and a paused process cannot exit
	for range terminations {
		process.Terminate() // a signal that is repeated changes nothing
	}
	if code, err := process.Wait(exitWaitLimit); err != nil || code != 0 {
		n.env.report.recordViolation("%s did not exit cleanly after SIGTERM: code %d, %v", n.name, code, err)
	}
	n.kill()
}

// ready reports whether the node's readiness check succeeds, as the balancer would see it.
func (n *node) ready() bool {
	response, err := n.env.client.Get(fmt.Sprintf("http://%s:%d/ready", n.host, portReady))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// endFaults ends all faults and starts the nodes that have no process.
func (env *environment) endFaults() error {
	env.store.SetFaults(memory.Faults{})
	env.store.ApplyDelayed()
	for _, n := range env.nodes {
		n.link.Restore()
		n.link.SetDelay(0)
		if process := n.running(); process != nil {
			process.Resume()
			continue
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}
