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

// stopTimeout bounds the wait for a process that was asked to end.
const stopTimeout = 15 * time.Second

// region is that of all instances of a cluster.
const region = "r1"

// Layout says what a cluster consists of at its start.
type Layout struct {
	Binaries Binaries
	// Folder holds data folders and journals.
	Folder string
	// Log receives what all processes write to their error output.
	Log io.Writer
	// ListLag is the lag of the instance list.
	ListLag time.Duration
	// ListTTL drops endpoints that stopped renewing; zero is never.
	ListTTL time.Duration
}

// Cluster is a set of processes: the platform's services, the balancer,
// entries and endpoints. Its methods may be called from several goroutines.
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

// Entry is one entry of a cluster.
type Entry struct {
	*Process
	ID string
	// StoreLink is between this entry and the key-value service.
	StoreLink *Link
	// PeerLink is between other entries and this one's interface for entries.
	PeerLink *Link
}

// CallerAddress is where it takes callers' requests, host:port.
func (e *Entry) CallerAddress() string { return e.Addresses[0] }

// InternalAddress is its interface for entries and operators, host:port.
func (e *Entry) InternalAddress() string { return e.Addresses[1] }

// Endpoint is one endpoint of a cluster.
type Endpoint struct {
	*Process
	ID string
	// Kind is the stand-in that runs: "engine" or "service".
	Kind string
	// Journal is the file of its journal, which outlives it.
	Journal string
	// Link is between entries and this one; nil unless it was started behind one.
	Link *Link
	args []string
}

// Control returns the control interface.
func (e *Endpoint) Control() Control { return Control{Address: e.Addresses[1]} }

// NewCluster starts the platform's services and the balancer.
func NewCluster(layout Layout) (*Cluster, error) {
	c := &Cluster{layout: layout, entries: map[string]*Entry{}, endpoints: map[string]*Endpoint{}}
	var err error
	if c.Store, err = c.standin("kv", "kv"); err != nil {
		return c, err
	}
	if c.List, err = c.standin("list", "list", "--lag", layout.ListLag.String(), "--ttl", layout.ListTTL.String()); err != nil {
		return c, err
	}
	c.Balancer, err = c.standin("balancer", "balancer")
	return c, err
}

func (c *Cluster) standin(name string, args ...string) (*Process, error) {
	return Start(Spec{Name: name, Path: c.layout.Binaries.Standin, Args: args, Log: c.layout.Log})
}

// StoreControl is the control interface of the key-value service.
func (c *Cluster) StoreControl() Control { return Control{Address: c.Store.Addresses[1]} }

// ListControl is the control interface of the instance list.
func (c *Cluster) ListControl() Control { return Control{Address: c.List.Addresses[1]} }

// BalancerAddress is the balancer's address for callers, host:port.
func (c *Cluster) BalancerAddress() string { return c.Balancer.Addresses[0] }

// StartEntry starts an entry, lists it and puts it behind the balancer. Extra
// arguments are passed on to it.
func (c *Cluster) StartEntry(id, failureDomain string, args ...string) (*Entry, error) {
	storeLink, err := c.link(c.Store.Addresses[0])
	if err != nil {
		return nil, err
	}
	all := []string{"entry",
		"--id", id, "--failure-domain", failureDomain, "--region", region,
		"--listen", "127.0.0.1:0", "--internal-listen", "127.0.0.1:0",
		"--store-address", storeLink.Address(), "--list-address", c.List.Addresses[0]}
	process, err := Start(Spec{Name: id, Path: c.layout.Binaries.Entry, Args: append(all, args...), Log: c.layout.Log})
	if err != nil {
		return nil, err
	}
	entry := &Entry{Process: process, ID: id, StoreLink: storeLink}
	if entry.PeerLink, err = c.link(entry.InternalAddress()); err != nil {
		process.Kill()
		return nil, err
	}
	c.mu.Lock()
	c.entries[id] = entry
	c.mu.Unlock()
	return entry, c.announce(entry, failureDomain)
}

func (c *Cluster) link(target string) (*Link, error) {
	link, err := NewLink(target)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = append(c.links, link)
	return link, nil
}

func (c *Cluster) announce(entry *Entry, failureDomain string) error {
	instance := keyvalue.Instance{
		ID: entry.ID, Kind: keyvalue.KindEntry, Address: entry.InternalAddress(),
		FailureDomain: failureDomain, Region: region,
	}
	return errors.Join(c.keepListed(entry.Process, instance), c.updateBalancer())
}

// keepListed registers a process and renews it while it lives.
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

// Entries returns the entries that were started and not removed.
func (c *Cluster) Entries() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedValues(c.entries)
}

// RemoveEntry takes an entry that has ended off the list and the balancer.
func (c *Cluster) RemoveEntry(entry *Entry) error {
	c.mu.Lock()
	delete(c.entries, entry.ID)
	c.mu.Unlock()
	return errors.Join(c.ListControl().Post("/deregister", list.Reference{ID: entry.ID}), c.updateBalancer())
}

// StartEngine starts a model engine. Extra arguments are those of the stand-in.
func (c *Cluster) StartEngine(id, failureDomain, model string, args ...string) (*Endpoint, error) {
	return c.startEndpoint(id, append([]string{"engine", "--model", model, "--failure-domain", failureDomain}, args...))
}

// StartService starts a plain service. Extra arguments are those of the stand-in.
func (c *Cluster) StartService(id, failureDomain, application string, args ...string) (*Endpoint, error) {
	return c.startEndpoint(id, append([]string{"service", "--application", application, "--failure-domain", failureDomain}, args...))
}

func (c *Cluster) startEndpoint(id string, args []string) (*Endpoint, error) {
	journal := c.journal(id)
	all := append(args, "--id", id, "--region", region, "--journal-file", journal, "--list-control", c.List.Addresses[1])
	process, err := c.standin(id, all...)
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{Process: process, ID: id, Kind: args[0], Journal: journal, args: args}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[id] = endpoint
	return endpoint, nil
}

func (c *Cluster) journal(id string) string {
	return fmt.Sprintf("%s/%s.journal", c.layout.Folder, id)
}

// RestartEndpoint starts a new process in place of one that has ended; it keeps
// the identifier and the journal.
func (c *Cluster) RestartEndpoint(old *Endpoint) (*Endpoint, error) {
	<-old.Done()
	return c.startEndpoint(old.ID, old.args)
}

// Endpoints returns the newest process of each endpoint.
func (c *Cluster) Endpoints() []*Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sortedValues(c.endpoints)
}

// Close ends all processes, the entries first, and kills what does not end.
func (c *Cluster) Close() error {
	var waves [][]*Process
	var entries, endpoints []*Process
	for _, entry := range c.Entries() {
		entries = append(entries, entry.Process)
	}
	for _, endpoint := range c.Endpoints() {
		endpoints = append(endpoints, endpoint.Process)
	}
	waves = append(waves, entries, endpoints, []*Process{c.Balancer, c.List, c.Store})
	var problems []error
	for _, wave := range waves {
		problems = append(problems, endAll(wave))
	}
	for _, link := range c.links {
		link.Close()
	}
	return errors.Join(problems...)
}

func endAll(processes []*Process) error {
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
