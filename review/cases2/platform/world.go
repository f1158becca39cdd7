package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Times and sizes of a small deployment, as the site hydrometra-rollout sets them.
const (
	graceSeconds  = "8"
	statusSeconds = "120"
	memoryMB      = "284"
	cpuShare      = "0.4"
	maxFiles      = "4100"
	startTimeout  = 4 * time.Second
	startAttempts = 3
	settlingTime  = 1500 * time.Millisecond
)

// world is one deployment: its processes, its stand-ins and the record of what happened.
type world struct {
	root    string // of the repository
	folder  string // temporary
	began   time.Time
	store   *store
	nodes   []*node
	closers []func()

	mu     sync.Mutex
	record *os.File
}

// newWorld starts the stand-in of the store. The record is written to the given folder.
func newWorld(folder string) (*world, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(temporary))
	}
	w := &world{root: root, folder: temporary, began: time.Now(), record: record}
	w.store = newStore()
	w.atEnd(w.store.close)
	return w, nil
}

// atEnd registers what has to be closed when the case ends.
func (w *world) atEnd(f func()) { w.closers = append(w.closers, f) }

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	_ = w.record.Close()       // what could be written was written
	_ = os.RemoveAll(w.folder) // the folder is temporary
}

// since returns the time since the case began.
func (w *world) since() time.Duration { return time.Since(w.began) }

// note adds a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.since().Seconds(), fmt.Sprintf(format, arguments...))
}

// node is one node process.
type node struct {
	name                string
	front, ready, peers string
	settings            string
	root                string
	log                 *os.File
	command             *exec.Cmd
	ended               chan struct{}
}

// startNodes starts the nodes of a deployment and waits until all are ready.
func (w *world) startNodes(names ...string) error {
	for i, name := range names {
		n, err := w.startNode(name, fmt.Sprintf("zone-%d", i%2))
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	time.Sleep(settlingTime)
	w.note("%d nodes are ready", len(w.nodes))
	return nil
}

// startNode starts a node and waits until it is ready. If another process has taken one of its
// ports meanwhile, it is started again with other ones.
func (w *world) startNode(name, zone string) (*node, error) {
	var failure error
	for range startAttempts {
		n, err := w.newNode(name, zone)
		if err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
		if failure = n.awaitReady(startTimeout); failure == nil {
			return n, nil
		}
		n.kill()
	}
	return nil, failure
}

// newNode writes the settings of a node from the template of the deploy file.
func (w *world) newNode(name, zone string) (*node, error) {
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "node.settings"))
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	peerIP, peerPort, _ := net.SplitHostPort(addresses[2])
	_, metricsPort, _ := net.SplitHostPort(addresses[3])
	text := render(string(template), map[string]string{
		"node": name, "zone": zone, "listen.front": addresses[0], "listen.ready": addresses[1],
		"ip": peerIP, "internal_ports.0": peerPort, "provider.address": w.store.address,
		"bounds.grace_s": graceSeconds, "bounds.status_s": statusSeconds, "limits.memory_mb": memoryMB,
		"limits.cpu_share": cpuShare, "limits.max_fds": maxFiles,
	})
	// The template has one fixed port, which several nodes on one address cannot share.
	text = strings.ReplaceAll(text, peerIP+":9464", peerIP+":"+metricsPort)
	n := &node{name: name, front: addresses[0], ready: addresses[1], peers: addresses[2], settings: filepath.Join(w.folder, name+".settings"), root: w.root}
	if n.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		return nil, err
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if n.log, err = os.Create(filepath.Join(keep, name+".log")); err != nil {
			return nil, err
		}
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template. Sections of values that this deployment lacks are left out.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllString(template, "")
	return placeholder.ReplaceAllStringFunc(template, func(p string) string {
		return values[strings.Trim(p, "{}")]
	})
}

// freeAddresses returns unused addresses on loopback.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.command = exec.Command(filepath.Join(n.root, "target", "comfreyfront"), "node")
	n.command.Dir = n.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYFRONT_NODE_FILE=" + n.settings}
	n.command.Stdout, n.command.Stderr = n.log, n.log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func() {
		_ = n.command.Wait() // the case looks at what clients and servers see
		close(n.ended)
	}()
	return nil
}

// awaitReady waits until the node reports that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s was not ready within %s", n.name, limit)
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill() // it may have ended
	<-n.ended
}
