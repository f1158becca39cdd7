// Package cluster knows the nodes that live and which of them owns which unit
// of work. Both stand as keys in the metadata store: a node's key hangs on its
// lease, and a unit's key names its owner. The revision of a unit's key is its
// epoch: it fences all that its owner writes and orders.
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
	// OpenPrefix starts the keys of submissions; their owner is the unit's.
	OpenPrefix = Prefix + "open/"
)

// Node is one process of the system.
type Node struct {
	Name string `json:"name"`
	// Address is its host:port for other nodes.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation tells this process from the ones before it under the name.
	Incarnation int64 `json:"incarnation"`
	// Capacity is its share of a core: units go to the strongest nodes first.
	Capacity float64 `json:"capacity,omitempty"`
	// Leaving: it hands over what it owns.
	Leaving bool `json:"leaving,omitempty"`
}

// Unit is the ownership of one unit of work.
type Unit struct {
	Name        string `json:"-"`
	Owner       string `json:"owner"`
	Incarnation int64  `json:"incarnation"`
	// Epoch is the revision of the unit's key.
	Epoch int64 `json:"-"`
	// From is the leaving node that handed the unit over; nil when its owner
	// before died, or there was none.
	From *Node `json:"-"`
}

// unseen is since when a unit's owner has had no record.
type unseen struct {
	epoch int64
	at    time.Time
}

// Errors of this layer.
var (
	Errors = errorx.NewNamespace("cluster")
	// ErrNotConfirmed: the store did not confirm an ownership.
	ErrNotConfirmed = Errors.NewType("not_confirmed")
)

// member is a node as this one sees it.
type member struct {
	node Node
	// goneAt is when its key went; zero while it stands.
	goneAt time.Time
	// refused: nothing listens at its address any more.
	refused bool
	// missed counts the pings in a row that it did not answer.
	missed int
	// answeredAt is when it last answered a ping.
	answeredAt time.Time
}

// Pinger asks a node which process it is.
type Pinger interface {
	// Ping returns the incarnation that answers. Refused is true when the
	// node's address surely has no listener.
	Ping(ctx context.Context, node Node) (incarnation int64, refused bool, err error)
}

// Options of a Cluster.
type Options struct {
	Self   Node
	Store  metastore.Store
	Pinger Pinger
	// TTL is how long the node's key outlives its last renewal.
	TTL    time.Duration
	Logger *slog.Logger
	// Open is told of each change of a submission's key.
	Open func(metastore.Event)
	// Acquired and Lost are told of units that this node owns from now on, or no
	// more. Both are called in the goroutine of Run.
	Acquired func(Unit)
	Lost   func(Unit)
}

// Cluster is safe for concurrent use; Run must run.
type Cluster struct {
	options Options
	now     func() time.Time

	mu      sync.Mutex
	members map[string]*member
	units   map[string]Unit
	// wanted are the units that someone must own.
	wanted map[string]struct{}
	// held are the units that this node believes to own.
	held map[string]Unit
	// unseen are the units whose owners this node never saw a record of.
	unseen map[string]unseen
	listed bool
	lease  leaseState
	kick   chan struct{}
}

// New returns a cluster of which only this node is known.
func New(options Options) *Cluster {
	return &Cluster{
		options: options,
		now:     time.Now,
		members: map[string]*member{},
		units:   map[string]Unit{},
		wanted:  map[string]struct{}{},
		held:    map[string]Unit{},
		unseen:  map[string]unseen{},
		kick:    make(chan struct{}, 1),
	}
}

// Self returns this node.
func (c *Cluster) Self() Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.options.Self
}

// Want asks that some node own the unit.
func (c *Cluster) Want(unit string) {
	c.mu.Lock()
	_, known := c.wanted[unit]
	c.wanted[unit] = struct{}{}
	c.mu.Unlock()
	if !known {
		c.poke()
	}
}

// Owner returns the node that owns the unit and lives.
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

// Owned returns the unit if this node owns it as far as it knows.
func (c *Cluster) Owned(unit string) (Unit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.held[unit]
	return u, ok
}

// Nodes returns the living nodes other than this one.
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

// Listed reports whether the keys were read once.
func (c *Cluster) Listed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed
}

func (c *Cluster) poke() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Changed takes one change of a key under Prefix.
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

// Settled tells that a round of changes is in.
func (c *Cluster) Settled() {
	c.mu.Lock()
	c.listed = true
	c.mu.Unlock()
	c.poke()
}

func (c *Cluster) nodeChanged(name string, e metastore.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Deleted {
		if m := c.members[name]; m != nil && m.goneAt.IsZero() {
			m.goneAt = c.now()
		}
		if name == c.options.Self.Name {
			c.lease.written = false
		}
		return
	}
	var node Node
	if err := json.Unmarshal(e.Value, &node); err != nil || node.Name != name {
		event.RecordBroken.Log(context.Background(), c.options.Logger, slog.String("key", e.Key))
		return
	}
	m := c.members[name]
	if m == nil || m.node.Incarnation != node.Incarnation {
		m = &member{}
		c.members[name] = m
	}
	m.node, m.goneAt = node, time.Time{}
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
		event.RecordBroken.Log(context.Background(), c.options.Logger, slog.String("key", e.Key))
		return
	}
	if old, ok := c.units[name]; !ok || old.Epoch < unit.Epoch {
		c.units[name] = unit
	}
	c.wanted[name] = struct{}{}
}
