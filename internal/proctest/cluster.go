package proctest

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/standin/balancer"
	"github.com/comfreyfront/comfreyfront/internal/standin/list"
)

// stopTimeout bounds the wait for a process to exit after SIGTERM.
const stopTimeout = 15 * time.Second

// region is the region of every instance in a cluster.
const region = "r1"

// Layout configures a new cluster.
type Layout struct {
	Binaries Binaries
	// Folder is the directory for the endpoints' journals.
	Folder string
	// Log receives the standard error of all processes.
	Log io.Writer
	// ListLag is the delay until the instance list shows a change.
	ListLag time.Duration
	// ListTTL is how long an instance stays listed without a renewal; zero means forever.
	ListTTL time.Duration
}

// Cluster runs the platform's services, the balancer, entries and endpoints, each as its own
// process. Its methods are safe for concurrent use.
type Cluster struct {
	layout   Layout
	Store    *Process
	List     *Process
	Balancer *Process

	mu        sync.Mutex
	entries   map[string]*Entry
	endpoints map[string]*Endpoint
	links     []*Link
}

// Entry is an entry process of a cluster.
type Entry struct {
	*Process
	ID string
	// StoreLink relays this entry's connections to the key-value service.
	StoreLink *Link
	// PeerLink relays connections to this entry's internal interface.
	PeerLink *Link
}

// CallerAddress returns the host:port on which the entry accepts callers' requests.
func (e *Entry) CallerAddress() string { return e.Addresses[0] }

// InternalAddress returns the host:port of the entry's interface for other entries and operators.
func (e *Entry) InternalAddress() string { return e.Addresses[1] }

// Endpoint is an endpoint process of a cluster.
type Endpoint struct {
	*Process
	ID string
	// Kind is "engine" or "service", the stand-in's subcommand.
	Kind string
	// Journal is the path of the endpoint's journal, which remains after the process exits.
	Journal string
	// Link relays the entries' connections to this endpoint; nil unless it was started behind a
	// link.
	Link *Link
	args []string
}

// Control returns a client of the endpoint's control interface.
func (e *Endpoint) Control() Control { return Control{Address: e.Addresses[1]} }

// NewCluster starts the platform's services and the balancer. After an error, the returned cluster
// must still be closed.
func NewCluster(layout Layout) (*Cluster, error) {
	c := &Cluster{layout: layout, entries: map[string]*Entry{}, endpoints: map[string]*Endpoint{}}
	var err error
	if c.Store, err = c.startStandin("kv", "kv"); err != nil {
		return c, err
	}
	if c.List, err = c.startStandin("list", "list", "--lag", layout.ListLag.String(), "--ttl", layout.ListTTL.String()); err != nil {
		return c, err
	}
	c.Balancer, err = c.startStandin("balancer", "balancer")
	return c, err
}

func (c *Cluster) startStandin(name string, args ...string) (*Process, error) {
	return Start(Spec{Name: name, Path: c.layout.Binaries.Standin, Args: args, Log: c.layout.Log})
}

// StoreControl returns a client of the key-value service's control interface.
func (c *Cluster) StoreControl() Control { return Control{Address: c.Store.Addresses[1]} }

// ListControl returns a client of the instance list's control interface.
func (c *Cluster) ListControl() Control { return Control{Address: c.List.Addresses[1]} }

// BalancerAddress returns the host:port on which the balancer accepts callers' requests.
func (c *Cluster) BalancerAddress() string { return c.Balancer.Addresses[0] }

// StartEntry starts an entry, registers it in the instance list and adds it to the balancer's
// backends. Extra arguments go to the entry's command line.
func (c *Cluster) StartEntry(id, failureDomain string, args ...string) (*Entry, error) {
	storeLink, err := c.newLink(c.Store.Addresses[0])
	if err != nil {
		return nil, err
	}
	arguments := []string{"entry",
		"--id", id, "--failure-domain", failureDomain, "--region", region,
		"--listen", "127.0.0.1:0", "--internal-listen", "127.0.0.1:0",
		"--store-address", storeLink.Address(), "--list-address", c.List.Addresses[0]}
	process, err := Start(Spec{Name: id, Path: c.layout.Binaries.Entry, Args: append(arguments, args...), Log: c.layout.Log})
	if err != nil {
		return nil, err
	}
	entry := &Entry{Process: process, ID: id, StoreLink: storeLink}
	if entry.PeerLink, err = c.newLink(entry.InternalAddress()); err != nil {
		process.Kill()
		return nil, err
	}
	c.mu.Lock()
	c.entries[id] = entry
	c.mu.Unlock()
	return entry, c.publishEntry(entry, failureDomain)
}

func (c *Cluster) newLink(target string) (*Link, error) {
	link, err := NewLink(target)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, link)
	return link, nil
}

func (c *Cluster) publishEntry(entry *Entry, failureDomain string) error {
	instance := keyvalue.Instance{
		ID: entry.ID, Kind: keyvalue.KindEntry, Address: entry.InternalAddress(),
		FailureDomain: failureDomain, Region: region,
	}
	return errors.Join(c.keepListed(entry.Process, instance), c.updateBalancer())
}

// keepListed registers a process in the instance list and renews its registration until the process
// or the list exits.
func (c *Cluster) keepListed(process *Process, instance keyvalue.Instance) error {
	if err := c.ListControl().Post("/register", instance); err != nil {
		return err
	}
	if c.layout.ListTTL == 0 {
		return nil
	}
	go func() {
		ticker := time.NewTicker(c.layout.ListTTL / 3)
		defer ticker.Stop()
		for {
			select {
			case <-process.Done():
				return
			case <-c.List.Done():
				return
			case <-ticker.C:
				_ = c.ListControl().Post("/register", instance)
			}
		}
	}()
	return nil
}

func (c *Cluster) updateBalancer() error {
	backends := []balancer.Backend{}
	for _, entry := range c.Entries() {
		backends = append(backends, balancer.Backend{Address: entry.CallerAddress(), Ready: entry.InternalAddress()})
	}
	return Control{Address: c.Balancer.Addresses[1]}.Put("/backends", backends)
}

// Entries returns the entries that were started and not removed, sorted by identifier.
func (c *Cluster) Entries() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedValues(c.entries)
}

// RemoveEntry removes an entry whose process has exited from the instance list and the balancer.
func (c *Cluster) RemoveEntry(entry *Entry) error {
	c.mu.Lock()
	delete(c.entries, entry.ID)
	c.mu.Unlock()
	return errors.Join(c.ListControl().Post("/deregister", list.Reference{ID: entry.ID}), c.updateBalancer())
}

// StartEngine starts a model engine. Extra arguments go to the stand-in's command line.
func (c *Cluster) StartEngine(id, failureDomain, model string, args ...string) (*Endpoint, error) {
	return c.startEndpoint(id, append([]string{"engine", "--model", model, "--failure-domain", failureDomain}, args...))
}

// StartService starts a plain service. Extra arguments go to the stand-in's command line.
func (c *Cluster) StartService(id, failureDomain, application string, args ...string) (*Endpoint, error) {
	return c.startEndpoint(id, append([]string{"service", "--application", application, "--failure-domain", failureDomain}, args...))
}

func (c *Cluster) startEndpoint(id string, args []string) (*Endpoint, error) {
	journal := c.journalPath(id)
	arguments := append(args, "--id", id, "--region", region, "--journal-file", journal, "--list-control", c.List.Addresses[1])
	process, err := c.startStandin(id, arguments...)
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{Process: process, ID: id, Kind: args[0], Journal: journal, args: args}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[id] = endpoint
	return endpoint, nil
}

func (c *Cluster) journalPath(id string) string {
	return fmt.Sprintf("%s/%s.journal", c.layout.Folder, id)
}

// RestartEndpoint waits until an endpoint's process has exited and starts a new one with the same
// identifier and journal.
func (c *Cluster) RestartEndpoint(old *Endpoint) (*Endpoint, error) {
	<-old.Done()
	return c.startEndpoint(old.ID, old.args)
}

// Endpoints returns the latest process of each endpoint, sorted by identifier.
func (c *Cluster) Endpoints() []*Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedValues(c.endpoints)
}

// Close terminates all processes, the entries first, and kills those that do not exit within
// stopTimeout.
func (c *Cluster) Close() error {
	var groups [][]*Process
	var entries, endpoints []*Process
	for _, entry := range c.Entries() {
		entries = append(entries, entry.Process)
	}
	for _, endpoint := range c.Endpoints() {
		endpoints = append(endpoints, endpoint.Process)
	}
	groups = append(groups, entries, endpoints, []*Process{c.Balancer, c.List, c.Store})
	var problems []error
	for _, group := range groups {
		problems = append(problems, terminateAll(group))
	}
	for _, link := range c.links {
		link.Close()
	}
	return errors.Join(problems...)
}

func terminateAll(processes []*Process) error {
	var problems []error
	for _, p := range processes {
		if p != nil {
			p.Resume()
			p.Terminate()
		}
	}
	for _, p := range processes {
		if p == nil {
			continue
		}
		if _, err := p.Wait(stopTimeout); err != nil {
			problems = append(problems, err)
			p.Kill()
		}
	}
	return errors.Join(problems...)
}
