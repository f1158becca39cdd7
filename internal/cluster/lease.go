package cluster

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Renewal and retry rates of the lease, relative to its time to live.
const (
	renewalsPerTTL = 3
	retriesPerTTL  = 8
	// maxRefusalDoublings limits the pause after rate-limit refusals to sixteen times
	// the first one.
	maxRefusalDoublings = 4
	// idleFactor is the factor by which the lease of a node without units is longer: no
	// unit waits for a new owner if such a node fails, and the renewal load grows with the
	// number of nodes.
	idleFactor = 3
)

// leaseState is the state of the node's lease and of the key attached to it.
type leaseState struct {
	id  int64
	ttl time.Duration
	// validUntil is the time until which the lease is certain to be valid.
	validUntil time.Time
	// written means that, as far as known, the node's key exists and is attached to the
	// lease. writtenAt is when it was last written.
	written   bool
	writtenAt time.Time
}

// keyMissing reports whether the node's key must be written again: its removal was
// observed, or this node has not observed the key for as long as the lease lasts. A key
// that is removed before this node first lists the keys is never reported as removed.
func (l leaseState) keyMissing(observed bool, now time.Time) bool {
	if l.id == 0 {
		return false
	}
	return !l.written || !observed && now.Sub(l.writtenAt) > l.ttl
}

// keepLease keeps the node's lease and key alive until ctx ends.
func (c *Cluster) keepLease(ctx context.Context) error {
	refused := 0 // consecutive calls that the store refused because of their rate
	for ctx.Err() == nil {
		err := c.refreshLease(ctx)
		switch {
		case err == nil:
			refused = 0
			c.waitForLease(ctx, c.ttl()/renewalsPerTTL)
		case errorx.IsOfType(err, metastore.ErrOverRate):
			wait.For(ctx, c.retryPause(refused))
			refused++
		default:
			refused = 0
			c.waitForLease(ctx, c.retryPause(refused))
		}
	}
	return nil
}

// retryPause returns the pause after a failed call that was preceded by the given number
// of consecutive rate-limit refusals. For a node without units the pause grows with that
// number, so that many nodes that start at once do not keep the store over its rate
// limit. A node that owns units always uses the shortest pause. All pauses are randomized.
func (c *Cluster) retryPause(refused int) time.Duration {
	c.mu.Lock()
	owns := len(c.owned) > 0
	c.mu.Unlock()
	pause := c.options.TTL / retriesPerTTL
	if !owns {
		pause <<= min(refused, maxRefusalDoublings)
	}
	return pause/2 + rand.N(pause)
}

// ttl returns the time to live that the node's lease should have now.
func (c *Cluster) ttl() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.owned) > 0 {
		return c.options.TTL
	}
	return idleFactor * c.options.TTL
}

// waitForLease waits for the given time. It returns early if the node's key must be
// written again, or if the node acquired a unit while its lease still has the idle time to
// live.
func (c *Cluster) waitForLease(ctx context.Context, pause time.Duration) {
	const step = 50 * time.Millisecond
	for ; pause > 0 && wait.For(ctx, min(step, pause)); pause -= step {
		c.mu.Lock()
		keyMissing := c.lease.keyMissing(c.observesSelf(), c.now())
		if keyMissing {
			c.lease.written = false
		}
		tooLong := len(c.owned) > 0 && c.lease.ttl > c.options.TTL
		c.mu.Unlock()
		if keyMissing || tooLong {
			return
		}
	}
}

func (c *Cluster) refreshLease(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, c.options.TTL/2)
	defer cancel()
	c.mu.Lock()
	state := c.lease
	c.mu.Unlock()
	if state.ttl > c.ttl() {
		// The key is written again under a shorter lease; the long one expires.
		state = leaseState{}
	}
	sent := c.now()
	if state.id != 0 && state.written {
		err := c.options.Store.Renew(callCtx, state.id)
		if errorx.IsOfType(err, metastore.ErrLeaseEnded) {
			event.LeaseLost.Log(ctx, c.options.Logger)
			c.setLease(leaseState{})
			return err
		}
		if err == nil {
			c.mu.Lock()
			c.lease.validUntil = sent.Add(state.ttl)
			c.mu.Unlock()
		}
		return err
	}
	return c.writeSelf(callCtx, state, sent)
}

// writeSelf writes the node's key, granting a lease first if there is none. The write has
// the condition that this node still owns its units: a node that was cut off may not have
// learned yet that another one has acquired them, and a confirmed lease permits orders.
func (c *Cluster) writeSelf(ctx context.Context, state leaseState, sent time.Time) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if state.id == 0 {
		ttl := c.ttl()
		id, err := c.options.Store.Grant(ctx, ttl)
		if err != nil {
			return err
		}
		state = leaseState{id: id, ttl: ttl, validUntil: sent.Add(ttl)}
		c.setLease(state)
	}
	value, err := json.Marshal(c.Self())
	if err != nil {
		return ErrNotConfirmed.Wrap(err, "node record")
	}
	_, err = c.options.Store.Commit(ctx, metastore.Txn{
		Conditions: c.ownedConditions(),
		Puts:       []metastore.Put{{Key: nodePrefix + c.options.Self.Name, Value: value, Lease: state.id}},
	})
	if errorx.IsOfType(err, metastore.ErrConflict) {
		c.rereadOwned(ctx)
		return err
	}
	if errorx.IsOfType(err, metastore.ErrLeaseEnded) {
		c.setLease(leaseState{})
		return err
	}
	if err != nil {
		return err
	}
	state.written, state.writtenAt = true, c.now()
	c.setLease(state)
	return nil
}

// ownedConditions returns the conditions that are met while this node owns its units.
func (c *Cluster) ownedConditions() []metastore.Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	conditions := make([]metastore.Condition, 0, len(c.owned))
	for _, unit := range c.owned {
		conditions = append(conditions, unit.Condition())
	}
	return conditions
}

// rereadOwned reads the records of the units that this node believes it owns.
func (c *Cluster) rereadOwned(ctx context.Context) {
	for _, condition := range c.ownedConditions() {
		item, err := c.options.Store.Get(ctx, condition.Key)
		if err != nil {
			event.UnitNotAcquired.Log(ctx, c.options.Logger, slog.String("unit", condition.Key), slog.String("cause", err.Error()))
			continue
		}
		c.Changed(metastore.Event{Item: item})
	}
	c.triggerCheck()
}

// observesSelf reports whether the observed keys include this node's own. The caller
// holds c.mu.
func (c *Cluster) observesSelf() bool {
	m, known := c.members[c.options.Self.Name]
	return known && m.node.Incarnation == c.options.Self.Incarnation && m.keyRemovedAt.IsZero()
}

func (c *Cluster) setLease(state leaseState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = state
}

// Confirmed reports whether the node's lease is certain to be valid and its key is
// written.
func (c *Cluster) Confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.written && c.now().Before(c.lease.validUntil)
}

// Leave announces in the node's record that this node is handing over its units.
func (c *Cluster) Leave(ctx context.Context) {
	c.mu.Lock()
	c.options.Self.Leaving = true
	state := c.lease
	c.mu.Unlock()
	if err := c.writeSelf(ctx, state, c.now()); err != nil {
		c.mu.Lock()
		c.lease.written = false // keepLease writes the key again
		c.mu.Unlock()
		event.UnitNotAcquired.Log(ctx, c.options.Logger, slog.String("unit", "leaving"), slog.String("cause", err.Error()))
	}
}

// EndLease ends the node's lease, which removes the node's key.
func (c *Cluster) EndLease(ctx context.Context) {
	c.mu.Lock()
	id := c.lease.id
	c.lease = leaseState{}
	c.mu.Unlock()
	if id == 0 {
		return
	}
	if err := c.options.Store.End(ctx, id); err != nil {
		event.LeaseLost.Log(ctx, c.options.Logger, slog.String("cause", err.Error()))
	}
}
