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

// Times of the watch over owners.
const (
	checkEvery = 250 * time.Millisecond
	// goneGrace is how long a node's key may be away before the node counts as
	// dead, unless it answers: after an outage of the store it writes it again.
	goneGrace   = 700 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	// missesToBelieve is how many pings in a row must miss for a node whose key
	// is gone to count as dead at once.
	missesToBelieve = 2
	takeTimeout     = time.Second
)

// Run keeps the node's key and the units that fall to it until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.keepLease(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(checkEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			case <-c.kick:
			}
			c.check(ctx)
		}
	})
	return group.Wait()
}

// check drops what others took, and takes what falls to this node.
func (c *Cluster) check(ctx context.Context) {
	for _, unit := range c.dropped() {
		event.UnitLost.Log(ctx, c.options.Logger, slog.String("unit", unit.Name), slog.Int64("epoch", unit.Epoch))
		c.options.Lost(unit)
	}
	if !c.Listed() {
		return
	}
	for _, name := range c.vacant(ctx) {
		c.take(ctx, name)
	}
}

// dropped forgets the units that others own by now.
func (c *Cluster) dropped() []Unit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lost []Unit
	for name, unit := range c.held {
		if current, ok := c.units[name]; ok && current.Epoch > unit.Epoch {
			delete(c.held, name)
			lost = append(lost, unit)
		}
	}
	return lost
}

// vacant returns the units without a living owner that fall to this node. It
// asks the owners of those that would.
func (c *Cluster) vacant(ctx context.Context) []string {
	var names []string
	owners := map[*member]Node{}
	c.mu.Lock()
	if c.options.Self.Leaving {
		c.mu.Unlock()
		return nil
	}
	for name := range c.wanted {
		unit, owned := c.units[name]
		if owned && unit.Owner == c.options.Self.Name && unit.Incarnation == c.options.Self.Incarnation {
			if _, held := c.held[name]; !held {
				names = append(names, name)
			}
			continue
		}
		if c.successor(name, unit.Owner) != c.options.Self.Name {
			continue
		}
		m := c.members[unit.Owner]
		if owned && m == nil && !c.unseenLong(unit) {
			continue
		}
		if !owned || m == nil || m.node.Incarnation != unit.Incarnation || c.dead(m) || m.node.Leaving {
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

// unseenLong reports whether the owner of a unit has had no record for long, as
// far as this node saw: a node that just started must not take a unit while the
// record of its owner, lost in an outage, is being written again. c.mu is held.
func (c *Cluster) unseenLong(unit Unit) bool {
	first := c.unseen[unit.Name]
	if first.epoch != unit.Epoch {
		c.unseen[unit.Name] = unseen{epoch: unit.Epoch, at: c.now()}
		return false
	}
	return c.now().Sub(first.at) > goneGrace
}

// dead reports whether a member counts as dead; c.mu is held.
func (c *Cluster) dead(m *member) bool {
	if m.refused {
		return true
	}
	if m.goneAt.IsZero() {
		return false
	}
	if m.missed >= missesToBelieve {
		return true
	}
	since := m.goneAt
	if m.answeredAt.After(since) {
		since = m.answeredAt
	}
	return c.now().Sub(since) > goneGrace
}

// successor returns the node that owns a unit when its owner does not: of the
// strongest living ones that of the highest rank. A weak node that owns much
// work cannot renew its lease in time. c.mu is held.
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
	capacity := func(name string) float64 { return c.members[name].node.Capacity }
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(capacity(a), capacity(b)), cmp.Compare(rank(unit, a), rank(unit, b)), cmp.Compare(a, b))
	})
}

// rank orders the nodes for a unit, in another order for each.
func rank(unit, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(unit + "\x00" + node)) // never fails
	x := hash.Sum64()
	// The low bits of the hash depend on the last bytes most; mix them up.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ping asks an owner, as it was when c.mu was held, whether it lives, without
// waiting for the answer.
func (c *Cluster) ping(ctx context.Context, m *member, node Node) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		incarnation, refused, err := c.options.Pinger.Ping(callCtx, node)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err == nil && incarnation == node.Incarnation {
			m.answeredAt, m.missed = c.now(), 0
			return
		}
		m.missed++
		if (refused || err == nil) && !m.refused {
			m.refused = true
			event.PeerDead.Log(ctx, c.options.Logger, slog.String("node", node.Name), slog.Int64("incarnation", node.Incarnation))
			c.poke()
		}
	}()
}

// take makes this node the owner of a unit, on the condition that nobody else
// became it meanwhile.
func (c *Cluster) take(ctx context.Context, name string) {
	c.mu.Lock()
	known := c.units[name]
	self := c.options.Self
	var from *Node
	if m := c.members[known.Owner]; m != nil && m.node.Leaving && !c.dead(m) {
		node := m.node
		from = &node
	}
	c.mu.Unlock()
	unit, err := c.commitUnit(ctx, name, known, self)
	if err != nil {
		event.UnitNotTaken.Log(ctx, c.options.Logger, slog.String("unit", name), slog.String("cause", err.Error()))
		return
	}
	c.mu.Lock()
	if current := c.units[name]; current.Epoch > unit.Epoch {
		c.mu.Unlock()
		return
	}
	c.units[name] = unit
	c.held[name] = unit
	c.mu.Unlock()
	event.UnitTaken.Log(ctx, c.options.Logger, slog.String("unit", name), slog.Int64("epoch", unit.Epoch), slog.String("before", known.Owner))
	unit.From = from
	c.options.Acquired(unit)
}

func (c *Cluster) commitUnit(ctx context.Context, name string, known Unit, self Node) (Unit, error) {
	if known.Owner == self.Name && known.Incarnation == self.Incarnation {
		return known, nil // an earlier write of this process took effect
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	unit := Unit{Name: name, Owner: self.Name, Incarnation: self.Incarnation}
	value, err := json.Marshal(unit)
	if err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "unit record")
	}
	unit.Epoch, err = c.options.Store.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: unitPrefix + name, Revision: known.Epoch}},
		Puts:       []metastore.Put{{Key: unitPrefix + name, Value: value}},
	})
	if errorx.IsOfType(err, metastore.ErrUnknown) {
		return c.readBack(ctx, unit)
	}
	if err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "unit")
	}
	return unit, nil
}

// readBack finds out whether a write without an answer made this node the owner.
func (c *Cluster) readBack(ctx context.Context, unit Unit) (Unit, error) {
	item, err := c.options.Store.Get(ctx, unitPrefix+unit.Name)
	if err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "unit")
	}
	var found Unit
	if err := json.Unmarshal(item.Value, &found); err != nil {
		return Unit{}, ErrNotConfirmed.Wrap(err, "unit record")
	}
	if found.Owner != unit.Owner || found.Incarnation != unit.Incarnation {
		return Unit{}, ErrNotConfirmed.New("the owner is %s", found.Owner)
	}
	unit.Epoch = item.Revision
	return unit, nil
}

// Condition holds while the unit's owner is the one of this epoch.
func (u Unit) Condition() metastore.Condition {
	return metastore.Condition{Key: unitPrefix + u.Name, Revision: u.Epoch}
}
