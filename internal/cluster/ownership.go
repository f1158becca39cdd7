package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
)

// Timing and limits of the checks of unit owners.
const (
	checkInterval = 250 * time.Millisecond
	// missingKeyGrace is how long a node's key may be missing before an unresponsive node is
	// considered dead: after an outage of the store a live node writes its key again.
	missingKeyGrace = 700 * time.Millisecond
	pingTimeout     = 400 * time.Millisecond
	// maxMissedPings is the number of consecutive unanswered pings after which a node
	// without a key is considered dead before missingKeyGrace has passed.
	maxMissedPings = 2
	// missedSpan is how long an unanswered ping counts: a node that is not pinged any more
	// may have come back.
	missedSpan     = 2 * (checkInterval + pingTimeout)
	acquireTimeout = time.Second
)

// Limits of what a refused connection proves, relative to the time to live of an owner's
// lease.
const (
	// refusalTTLs is for how long refused connections count as a sign that a node's process
	// has ended. The key of a process that has ended is removed within one TTL, so a node
	// whose key outlasts this time is alive behind a network fault.
	refusalTTLs = 2
	// tenureTTLs is how long a unit must have had its owner before another node takes it
	// over because of refused connections alone. It is longer than refusalTTLs: two nodes
	// that refuse each other's connections would otherwise take the unit from each other in
	// turn.
	tenureTTLs = 4
)

// Run maintains the node's key and acquires the units assigned to this node until ctx
// ends.
func (c *Cluster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.keepLease(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			case <-c.wake:
			}
			c.check(ctx)
		}
	})
	return group.Wait()
}

// check drops units that other nodes have acquired and acquires those assigned to this
// node.
func (c *Cluster) check(ctx context.Context) {
	for _, unit := range c.dropLost() {
		event.UnitLost.Log(ctx, c.options.Logger, slog.String("unit", unit.Name), slog.Int64("epoch", unit.Epoch))
		c.options.Lost(unit)
	}
	if !c.Listed() {
		return
	}
	for _, name := range c.claimableUnits(ctx) {
		c.acquire(ctx, name)
	}
}

// dropLost removes the units that other nodes now own and returns them.
func (c *Cluster) dropLost() []Unit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lost []Unit
	for name, unit := range c.owned {
		if current, ok := c.units[name]; ok && current.Epoch > unit.Epoch {
			delete(c.owned, name)
			lost = append(lost, unit)
		}
	}
	return lost
}

// claimableUnits returns the units without a live owner that are assigned to this node,
// and the units whose record already names this process but that it does not run yet. It
// pings the owners of the other units that this node would take over.
func (c *Cluster) claimableUnits(ctx context.Context) []string {
	var names []string
	owners := map[*member]Node{}
	c.mu.Lock()
	if c.options.Self.Leaving {
		c.mu.Unlock()
		return nil
	}
	for name := range c.wanted {
		unit, hasOwner := c.units[name]
		if hasOwner && unit.Owner == c.options.Self.Name && unit.Incarnation == c.options.Self.Incarnation {
			if _, owned := c.owned[name]; !owned {
				names = append(names, name)
			}
			continue
		}
		if c.successor(name, unit.Owner) != c.options.Self.Name {
			continue
		}
		m := c.members[unit.Owner]
		if hasOwner && unit.ownerUnseen(m) && !c.ownerMissing(unit) {
			continue
		}
		if !hasOwner || m == nil || m.node.Incarnation != unit.Incarnation || c.replaceable(unit, m) || m.node.Leaving {
			names = append(names, name)
			continue
		}
		owners[m] = m.node
	}
	c.mu.Unlock()
	for m, node := range owners {
		c.ping(ctx, m, node)
	}
	slices.Sort(names)
	return names
}

// ownerUnseen reports whether the member's record is not from the process that owns the unit
// nor from a later one. A process that acquires a unit soon after its start may write its own
// record after that of the unit. m is nil if there is no record.
func (u Unit) ownerUnseen(m *member) bool {
	return m == nil || m.node.Incarnation < u.Incarnation
}

// ownerMissing reports whether this node has seen no record of the process that owns a unit
// for longer than missingKeyGrace. Without this delay, a node that just started would take
// over a unit while its owner writes its record again after an outage of the store, and all
// nodes that start at once would take it from the one that was first. The caller holds c.mu.
func (c *Cluster) ownerMissing(unit Unit) bool {
	missing := c.missingOwners[unit.Name]
	if missing.epoch != unit.Epoch {
		c.missingOwners[unit.Name] = missingOwner{epoch: unit.Epoch, since: c.now()}
		return false
	}
	return c.now().Sub(missing.since) > missingKeyGrace
}

// replaceable reports whether another node may take over a unit from its owner. The caller
// holds c.mu.
func (c *Cluster) replaceable(unit Unit, owner *member) bool {
	return c.ended(owner) || c.refuses(owner) && c.now().Sub(unit.observedAt) > tenureTTLs*c.options.TTL
}

// dead reports whether a member is considered dead. The caller holds c.mu.
func (c *Cluster) dead(m *member) bool { return c.ended(m) || c.refuses(m) }

// refuses reports whether a member's process seems to have ended because its address
// refuses connections. The caller holds c.mu.
func (c *Cluster) refuses(m *member) bool {
	return !m.refusedAt.IsZero() && c.now().Sub(m.refusedAt) < refusalTTLs*c.options.TTL
}

// ended reports whether a member's process has ended or lost its lease. The caller holds
// c.mu.
func (c *Cluster) ended(m *member) bool {
	if m.replaced {
		return true
	}
	if m.keyRemovedAt.IsZero() {
		return false
	}
	if m.missed >= maxMissedPings && c.now().Sub(m.missedAt) <= missedSpan {
		return true
	}
	since := m.keyRemovedAt
	if m.answeredAt.After(since) {
		since = m.answeredAt
	}
	return c.now().Sub(since) > missingKeyGrace
}

// successor returns the node that should take over a unit from the given owner: among
// the live nodes with the highest capacity, the one with the highest rank. A node with
// little capacity that owns much work cannot renew its lease in time. The caller holds
// c.mu.
func (c *Cluster) successor(unit, owner string) string {
	names := []string{}
	for name, m := range c.members {
		if name == owner && name != c.options.Self.Name || c.dead(m) || m.node.Leaving {
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return c.options.Self.Name
	}
	return slices.MaxFunc(names, func(a, b string) int {
		return compareRank(unit, c.members[a].node, c.members[b].node)
	})
}

// compareRank compares two nodes by their priority for a unit.
func compareRank(unit string, a, b Node) int {
	return cmp.Or(cmp.Compare(a.Capacity, b.Capacity), cmp.Compare(rank(unit, a.Name), rank(unit, b.Name)), cmp.Compare(a.Name, b.Name))
}

// rank returns the priority of a node for a unit; the order of the nodes differs between
// units.
func rank(unit, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(unit + "\x00" + node)) // never fails
	x := hash.Sum64()
	// The last bytes affect mostly the low bits of the hash; mix them into the others.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ping pings an owner in the background. node is a copy of the member's record, made
// while c.mu was held.
func (c *Cluster) ping(ctx context.Context, m *member, node Node) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		incarnation, refused, err := c.options.Pinger.Ping(callCtx, node)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && incarnation == node.Incarnation {
			m.answeredAt, m.missed, m.refusedAt = c.now(), 0, time.Time{}
			return
		}
		if c.now().Sub(m.missedAt) > missedSpan {
			m.missed = 0
		}
		m.missed, m.missedAt = m.missed+1, c.now()
		switch {
		case err == nil && !m.replaced:
			m.replaced = true
		case refused && m.refusedAt.IsZero():
			m.refusedAt = c.now()
		default:
			return
		}
		event.PeerDead.Log(ctx, c.options.Logger, slog.String("node", node.Name), slog.Int64("incarnation", node.Incarnation), slog.Bool("replaced", m.replaced))
		c.triggerCheck()
	}()
}

// acquire makes this node the owner of a unit, unless another node has acquired the unit in
// the meantime.
func (c *Cluster) acquire(ctx context.Context, name string) {
	c.mu.Lock()
	previous := c.units[name]
	self := c.options.Self
	var from *Node
	if m := c.members[previous.Owner]; m != nil && m.node.Leaving && !c.dead(m) {
		node := m.node
		from = &node
	}
	c.mu.Unlock()
	unit, err := c.commitUnit(ctx, name, previous, self)
	if err != nil {
		event.UnitNotAcquired.Log(ctx, c.options.Logger, slog.String("unit", name), slog.String("cause", err.Error()))
		return
	}
	c.mu.Lock()
	if current := c.units[name]; current.Epoch > unit.Epoch {
		c.mu.Unlock()
		return
	}
	unit.observedAt = c.now()
	c.units[name] = unit
	c.owned[name] = unit
	c.mu.Unlock()
	event.UnitTaken.Log(ctx, c.options.Logger, slog.String("unit", name), slog.Int64("epoch", unit.Epoch), slog.String("before", previous.Owner))
	unit.From = from
	c.options.Acquired(unit)
}

// commitUnit writes this node into the unit's record and returns the unit with its new
// epoch.
func (c *Cluster) commitUnit(ctx context.Context, name string, previous Unit, self Node) (Unit, error) {
	if previous.Owner == self.Name && previous.Incarnation == self.Incarnation {
		return previous, nil // an earlier write of this process has taken effect
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	unit := Unit{Name: name, Owner: self.Name, Incarnation: self.Incarnation}
	value, err := json.Marshal(unit)
	if err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "unit record")
	}
	unit.Epoch, err = c.options.Store.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: unitPrefix + name, Revision: previous.Epoch}},
		Puts:       []metastore.Put{{Key: unitPrefix + name, Value: value}},
	})
	if errorx.IsOfType(err, metastore.ErrUnknown) {
		return c.readBack(ctx, unit)
	}
	if err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "the unit record could not be written")
	}
	return unit, nil
}

// readBack determines whether a write whose response was lost made this node the owner.
func (c *Cluster) readBack(ctx context.Context, unit Unit) (Unit, error) {
	item, err := c.options.Store.Get(ctx, unitPrefix+unit.Name)
	if err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "the unit record could not be read back")
	}
	var found Unit
	if err := json.Unmarshal(item.Value, &found); err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "unit record")
	}
	if found.Owner != unit.Owner || found.Incarnation != unit.Incarnation {
		return Unit{}, ErrNotConfirmed.New("the unit is owned by %s", found.Owner)
	}
	unit.Epoch = item.Revision
	return unit, nil
}

// Condition returns a transaction condition that is met while the unit's epoch is
// unchanged.
func (u Unit) Condition() metastore.Condition {
	return metastore.Condition{Key: unitPrefix + u.Name, Revision: u.Epoch}
}
