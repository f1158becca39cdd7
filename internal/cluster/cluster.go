// Package cluster tracks which nodes are alive and which of them owns which unit of
// work. Both are keys in the metadata store: a node's key is attached to the node's
// lease, and a unit's key names its owner. The revision of a unit's key is its epoch,
// which fences the owner's writes and orders.
package cluster

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Prefixes of the keys that every node watches.
const (
	Prefix     = "live/"
	nodePrefix = Prefix + "node/"
	unitPrefix = Prefix + "unit/"
	// OpenPrefix is the prefix of the keys of submission heads. The owner of a submission
	// is the owner of its unit.
	OpenPrefix = Prefix + "open/"
)

// Node is one process of the system.
type Node struct {
	Name string `json:"name"`
	// Address is the host:port at which other nodes reach this one.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation distinguishes this process from earlier ones with the same name.
	Incarnation int64 `json:"incarnation"`
	// Capacity is the fraction of a CPU core that the node has. Units are assigned to the
	// nodes with the highest capacity.
	Capacity float64 `json:"capacity,omitempty"`
	// Leaving means that the node is handing over its units.
	Leaving bool `json:"leaving,omitempty"`
}

// Unit is the ownership of one unit of work.
type Unit struct {
	Name        string `json:"-"`
	Owner       string `json:"owner"`
	Incarnation int64  `json:"incarnation"`
	// Epoch is the revision of the unit's key.
	Epoch int64 `json:"-"`
	// From is the leaving node that hands the unit over; nil if the previous owner died
	// or there was none.
	From *Node `json:"-"`
	// observedAt is when this node first observed the epoch.
	observedAt time.Time
}

// missingOwner records since when a unit's owner has had no node record.
type missingOwner struct {
	epoch int64
	since time.Time
}

// Errors of this package.
var (
	Errors = errorx.NewNamespace("cluster")
	// ErrNotConfirmed reports that the store did not confirm the ownership of a unit.
	ErrNotConfirmed = Errors.NewType("not_confirmed")
)

// member is the state of a node as observed by this one.
type member struct {
	node Node
	// keyRemovedAt is when the node's key disappeared; zero while the key exists.
	keyRemovedAt time.Time
	// replaced means that the node's process has ended: another process responded at its
	// address.
	replaced bool
	// refusedAt is when the node's address refused the first of the connections that were
	// refused since its last answered ping; zero if none was.
	refusedAt time.Time
	// missed counts consecutive unanswered pings, and missedAt is when the last one failed.
	missed   int
	missedAt time.Time
	// answeredAt is the time of the last answered ping.
	answeredAt time.Time
}

// Pinger determines which process responds at a node's address.
type Pinger interface {
	// Ping returns the incarnation of the process that responds, and 0 if that process
	// belongs to another node. refused is true if the connection was refused: the process
	// has ended, or a network fault between the two nodes refuses connections.
	Ping(ctx context.Context, node Node) (incarnation int64, refused bool, err error)
}

// Options configures a Cluster.
type Options struct {
	Self   Node
	Store  metastore.Store
	Pinger Pinger
	// TTL is the time to live of the lease of a node that owns units.
	TTL    time.Duration
	Logger *slog.Logger
	// Open is called with each change of a submission head.
	Open func(metastore.Event)
	// Acquired and Lost are called when this node becomes the owner of a unit and when
	// it loses one. Both are called in the goroutine of Run.
	Acquired func(Unit)
	Lost     func(Unit)
}

// Cluster tracks the members and the owners of units. It is safe for concurrent use; the
// caller must call Run.
type Cluster struct {
	options Options
	now     func() time.Time

	mu      sync.Mutex
	members map[string]*member
	units   map[string]Unit
	// wanted contains the units that must have an owner.
	wanted map[string]struct{}
	// owned contains the units that this node believes it owns.
	owned map[string]Unit
	// missingOwners contains, by unit, the owners whose record this node has not seen.
	missingOwners map[string]missingOwner
	listed        bool
	lease         leaseState
	// writing is held while the node's key is written, so that an earlier state of the node
	// never replaces a later one.
	writing sync.Mutex
	wake    chan struct{}
}

// New returns a cluster without members; they are added as their keys are seen.
func New(options Options) *Cluster {
	return &Cluster{
		options:       options,
		now:           time.Now,
		members:       map[string]*member{},
		units:         map[string]Unit{},
		wanted:        map[string]struct{}{},
		owned:         map[string]Unit{},
		missingOwners: map[string]missingOwner{},
		wake:          make(chan struct{}, 1),
	}
}

// Self returns this node.
func (c *Cluster) Self() Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.options.Self
}

// Want registers a unit that must have an owner.
func (c *Cluster) Want(unit string) {
	c.mu.Lock()
	_, known := c.wanted[unit]
	c.wanted[unit] = struct{}{}
	c.mu.Unlock()
	if !known {
		c.triggerCheck()
	}
}

// Owner returns the node that owns the unit, if the node is known in the incarnation
// that acquired the unit.
func (c *Cluster) Owner(unit string) (Node, Unit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.units[unit]
	if !ok {
		return Node{}, Unit{}, false
	}
	m, known := c.members[u.Owner]
	if !known || m.node.Incarnation != u.Incarnation {
		return Node{}, u, false
	}
	return m.node, u, true
}

// Owned returns the unit if this node believes it owns it.
func (c *Cluster) Owned(unit string) (Unit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.owned[unit]
	return u, ok
}

// Nodes returns the nodes, other than this one, that are not considered dead.
func (c *Cluster) Nodes() []Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := make([]Node, 0, len(c.members))
	for name, m := range c.members {
		if name != c.options.Self.Name && !c.dead(m) {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// Listed reports whether the keys have been read at least once.
func (c *Cluster) Listed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed
}

func (c *Cluster) triggerCheck() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Changed handles a change of a key under Prefix.
func (c *Cluster) Changed(e metastore.Event) {
	switch {
	case strings.HasPrefix(e.Key, nodePrefix):
		c.nodeChanged(strings.TrimPrefix(e.Key, nodePrefix), e)
	case strings.HasPrefix(e.Key, unitPrefix):
		c.unitChanged(strings.TrimPrefix(e.Key, unitPrefix), e)
	case strings.HasPrefix(e.Key, OpenPrefix):
		c.options.Open(e)
	}
}

// Settled marks the end of a batch of changes, after which ownership is checked.
func (c *Cluster) Settled() {
	c.mu.Lock()
	c.listed = true
	c.mu.Unlock()
	c.triggerCheck()
}

func (c *Cluster) nodeChanged(name string, e metastore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Deleted {
		if m := c.members[name]; m != nil && m.keyRemovedAt.IsZero() {
			m.keyRemovedAt = c.now()
		}
		if name == c.options.Self.Name {
			c.lease.written = false
		}
		return
	}
	var node Node
	if err := json.Unmarshal(e.Value, &node); err != nil || node.Name != name {
		event.RecordSkipped.Log(context.Background(), c.options.Logger, slog.String("key", e.Key))
		return
	}
	m := c.members[name]
	if m == nil || m.node.Incarnation != node.Incarnation {
		m = &member{}
		c.members[name] = m
	}
	m.node, m.keyRemovedAt = node, time.Time{}
	if name == c.options.Self.Name && node.Incarnation == c.options.Self.Incarnation && node.Leaving != c.options.Self.Leaving {
		c.lease.written = false // an earlier write took effect late
	}
}

func (c *Cluster) unitChanged(name string, e metastore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Deleted {
		delete(c.units, name)
		return
	}
	unit := Unit{Name: name, Epoch: e.Revision}
	if err := json.Unmarshal(e.Value, &unit); err != nil {
		event.RecordSkipped.Log(context.Background(), c.options.Logger, slog.String("key", e.Key))
		return
	}
	if old, ok := c.units[name]; !ok || old.Epoch < unit.Epoch {
		unit.observedAt = c.now()
		c.units[name] = unit
	}
	c.wanted[name] = struct{}{}
}
