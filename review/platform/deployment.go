// Package platform holds what the scripts of the review share: a small deployment of the
// project's own programs as separate processes, and stand-ins for the platform's store,
// for replicas and for clients. It only follows the published pages.
package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Paths below the root of the repository, which is the working directory.
const (
	binary   = "target/comfreyfront"
	template = "deploy/node.settings"
	// metricsPort is the port for metrics in the template.
	metricsPort = ":9464"
)

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file that lists what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	began time.Time
}

// OpenRecord creates record.txt in the case's folder, the first argument of the program.
func OpenRecord() *Record {
	if len(os.Args) < 2 {
		Abort("the folder of the case is missing")
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		Abort("record: %v", err)
	}
	return &Record{file: file, began: time.Now()}
}

// Line writes one line with the seconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }

// Abort ends the program because the case could not run.
func Abort(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	os.Exit(NotRun)
}

// Zones are the zones of the deployment, as many as the site has.
var Zones = []string{"larissa", "volos", "lamia", "trikala"}

// Node is one machine that carries traffic.
type Node struct {
	Name    string
	Host    string
	ports   ports
	deploy  *Deployment
	file    string
	process *proctest.Process
}

// ports are the ports of a node. Each node has a loopback address of its own, so that its
// ports stay free while it has no process.
type ports struct{ front, ready, internal, metrics int }

// freePorts returns ports that are free on a host.
func freePorts(host string) ports {
	var p ports
	for _, port := range []*int{&p.front, &p.ready, &p.internal, &p.metrics} {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			Abort("no free port: %v", err)
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return p
}

// Front returns the address at which clients reach the node.
func (n *Node) Front() string { return fmt.Sprintf("%s:%d", n.Host, n.ports.front) }

// Process returns the node's present process.
func (n *Node) Process() *proctest.Process { return n.process }

// Ready makes one readiness check, as the platform does once a second.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.Host, n.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() {
	process, err := proctest.Start(proctest.Spec{
		Name: n.Name, Path: binary, Args: []string{"node"}, Env: []string{"COMFREYFRONT_NODE_FILE=" + n.file},
		Log: n.deploy.log, NoReadyLine: true,
	})
	if err != nil {
		n.deploy.Close()
		Abort("%s: %v", n.Name, err)
	}
	n.process = process
}

// AwaitReady waits until the node is ready.
func (n *Node) AwaitReady() {
	for deadline := time.Now().Add(15 * time.Second); !n.Ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.deploy.Close()
			Abort("%s is not ready", n.Name)
		}
	}
}

// Deployment is the whole system with the platform's store.
type Deployment struct {
	Store   *platformtest.Store
	Nodes   []*Node
	folder  string
	log     *os.File
	storage *proctest.Process
}

// NewDeployment starts the store and writes the settings of the nodes, which are not
// started yet.
func NewDeployment(nodes int) *Deployment {
	if _, err := os.Stat(binary); err != nil {
		Abort("%s is missing: run the build line of deploy/system.toml", binary)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		Abort("temporary folder: %v", err)
	}
	log, err := os.Create(filepath.Join(folder, "nodes.log"))
	if err != nil {
		Abort("log: %v", err)
	}
	d := &Deployment{Store: platformtest.NewStore(), folder: folder, log: log}
	for i := range nodes {
		d.Nodes = append(d.Nodes, d.node(i))
	}
	return d
}

// values are the fields of a small deployment, as the page on settings shows them.
func (d *Deployment) values(n *Node, zone string) map[string]string {
	return map[string]string{
		"node": n.Name, "zone": zone, "ip": n.Host,
		"listen.front": n.Front(), "listen.ready": fmt.Sprintf("%s:%d", n.Host, n.ports.ready),
		"internal_ports.0": fmt.Sprint(n.ports.internal), "provider.address": d.Store.Address(),
		"bounds.grace_s": "8", "bounds.status_s": "120", "limits.memory_mb": "284", "limits.cpu_share": "0.4",
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

func (d *Deployment) node(i int) *Node {
	pid := os.Getpid()
	zone := Zones[i%len(Zones)]
	n := &Node{
		Name: fmt.Sprintf("front-%s-%d", zone, i/len(Zones)+1), deploy: d,
		Host: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%128, pid%256, i+1),
	}
	text, err := os.ReadFile(template)
	if err != nil {
		Abort("%v", err)
	}
	n.ports = freePorts(n.Host)
	values := d.values(n, zone)
	rendered := placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		value, known := values[strings.Trim(match, "{}")]
		if !known {
			Abort("the settings' template uses %s", match)
		}
		return value
	})
	// The template names a fixed port for metrics.
	rendered = strings.Replace(rendered, metricsPort, fmt.Sprintf(":%d", n.ports.metrics), 1)
	n.file = filepath.Join(d.folder, n.Name+".conf")
	if err := os.WriteFile(n.file, []byte(rendered), 0o600); err != nil {
		Abort("settings: %v", err)
	}
	return n
}

// Configure writes the operator's configuration from the case's folder.
func (d *Deployment) Configure() {
	content, err := os.ReadFile(filepath.Join(os.Args[1], "configuration.json"))
	if err != nil {
		Abort("configuration: %v", err)
	}
	d.Store.Write("op/config", content)
}

// NameVersion names a version of a model, as a trainer does.
func (d *Deployment) NameVersion(model string, version int64) {
	d.Store.Write("op/version/"+model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
}

// Start starts all processes and waits until the nodes are ready.
func (d *Deployment) Start() {
	storage, err := proctest.Start(proctest.Spec{Name: "storage", Path: binary, Args: []string{"storage"}, Log: d.log, NoReadyLine: true})
	if err != nil {
		d.Close()
		Abort("storage: %v", err)
	}
	d.storage = storage
	for _, n := range d.Nodes {
		n.Start()
	}
	for _, n := range d.Nodes {
		n.AwaitReady()
	}
}

// Close ends all processes.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		if n.process != nil {
			n.process.Kill()
		}
	}
	if d.storage != nil {
		d.storage.Kill()
	}
	d.Store.Close()
	_ = d.log.Close()
	if keep := os.Getenv("REVIEW_LOG"); keep != "" {
		if content, err := os.ReadFile(filepath.Join(d.folder, "nodes.log")); err == nil {
			_ = os.WriteFile(keep, content, 0o600)
		}
	}
	_ = os.RemoveAll(d.folder)
}

// Reset closes a channel with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
