package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Sizes of the system that is played.
const (
	zones       = 3
	engineCount = 4
	plainCount  = 3
	// textEvents and eventGap make a text that lasts for about a second.
	textEvents = 20
	eventGap   = 50 * time.Millisecond
	// callTimeout is what a caller waits at most.
	callTimeout = 4 * time.Second
	killWait    = 20 * time.Second
)

// Services of the played configuration.
const (
	serviceEngines = "lm"
	servicePlain   = "app"
	modelName      = "m"
)

// world is a store, endpoints and nodes.
type world struct {
	options Options
	report  *Report
	store   *platformtest.Store
	client  *http.Client
	random  *rand.Rand
	nodes   []*node

	mu sync.Mutex
	// endpoints are those that live; all are the dead ones too, whose counts of
	// runs are still looked at.
	endpoints []*platformtest.Endpoint
	all       []*platformtest.Endpoint
	// version is the newest of the configuration, and named that of the weights.
	version int
	named   int
	// updates are the statuses that callers got, by request; zero is none.
	updates map[string]int
}

// node is one process and its way to the store.
type node struct {
	world *world
	name  string
	zone  string
	host  string
	link  *proctest.Link

	mu      sync.Mutex
	process *proctest.Process
	// life counts its processes; seen is the newest version of the configuration
	// that the present one was seen to serve.
	life int
	seen int
}

// Ports of a node. Each has an address of its own, so that no other process takes
// them between two lives.
const (
	portCallers = 7001
	portReady   = 7002
	portPeers   = 7003
	portMetrics = 7004
)

func newWorld(options Options) (*world, error) {
	w := &world{
		options: options, report: &Report{}, store: platformtest.NewStore(), updates: map[string]int{}, version: 0, named: 1,
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	for i := range engineCount {
		w.addEndpoint(fmt.Sprintf("lm-%d", i), serviceEngines)
	}
	for i := range plainCount {
		w.addEndpoint(fmt.Sprintf("app-%d", i), servicePlain)
	}
	w.nextConfiguration()
	for i := range options.Nodes {
		link, err := proctest.NewLink(w.store.Address())
		if err != nil {
			w.close()
			return nil, err
		}
		n := &node{world: w, name: fmt.Sprintf("node-%d", i), zone: fmt.Sprintf("z%d", i%zones), host: hostOf(i), link: link}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

// hostOf returns the loopback address of a node of this run.
func hostOf(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%128, pid%256, i+1)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		n.link.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		e.Close()
	}
	w.store.Close()
}

// addEndpoint starts an endpoint and lists it.
func (w *world) addEndpoint(id, service string) {
	e := &platformtest.Endpoint{ID: id, Service: service, Zone: "z0"}
	if service == serviceEngines {
		e.Model, e.Events, e.Gap = modelName, textEvents, eventGap
	}
	e = platformtest.NewEndpoint(e)
	w.mu.Lock()
	w.endpoints = append(w.endpoints, e)
	w.all = append(w.all, e)
	w.mu.Unlock()
	w.store.Write(e.Key(), e.Record("ready"))
}

// takeEndpoint takes one that lives out of the list, if it is not the last of its
// service.
func (w *world) takeEndpoint(random *rand.Rand) *platformtest.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen := random.IntN(len(w.endpoints))
	e := w.endpoints[chosen]
	others := 0
	for _, other := range w.endpoints {
		if other.Service == e.Service {
			others++
		}
	}
	if others < 2 {
		return nil
	}
	w.endpoints = append(w.endpoints[:chosen:chosen], w.endpoints[chosen+1:]...)
	return e
}

// runs returns how often a request ran at all endpoints that ever lived.
func (w *world) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.all {
		n += e.Runs(id)
	}
	return n
}

func (n *node) callers() string { return fmt.Sprintf("%s:%d", n.host, portCallers) }

// start starts the node's process unless one runs.
func (n *node) start() error {
	if n.running() != nil {
		return nil
	}
	process, err := proctest.Start(proctest.Spec{
		Name: n.name, Path: n.world.options.Binary, Log: n.world.options.Log, NoReadyLine: true,
		Args: []string{
			"node", "--name", n.name, "--failure-domain", n.zone,
			"--listen", n.callers(), "--ready-listen", fmt.Sprintf("%s:%d", n.host, portReady),
			"--peer-listen", fmt.Sprintf("%s:%d", n.host, portPeers), "--metrics-listen", fmt.Sprintf("%s:%d", n.host, portMetrics),
			"--store-address", n.link.Address(), "--status-life", "10m",
		},
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.seen = process, 0
	n.life++
	return nil
}

func (n *node) running() *proctest.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// kill ends the process at once, if there is one.
func (n *node) kill() {
	n.mu.Lock()
	process := n.process
	n.process = nil
	n.mu.Unlock()
	if process != nil {
		process.Kill()
	}
}

// leave asks the process to end and waits; one that does not is a breach.
func (n *node) leave() {
	process := n.running()
	if process == nil {
		return
	}
	process.Terminate()
	if code, err := process.Wait(killWait); err != nil || code != 0 {
		n.world.report.breach("%s did not leave when it was asked to: code %d, %v", n.name, code, err)
	}
	n.kill()
}

// ready asks as the balancer does.
func (n *node) ready() bool {
	response, err := n.world.client.Get(fmt.Sprintf("http://%s:%d/ready", n.host, portReady))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// heal ends all faults and starts what is dead.
func (w *world) heal() error {
	w.store.SetFaults(memory.Faults{})
	w.store.ApplyLate()
	for _, n := range w.nodes {
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
