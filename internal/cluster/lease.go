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

// Shares of the lease's time to live.
const (
	renewalsPerTTL = 3
	retriesPerTTL  = 8
	// refusedDoublings bounds the pause after refusals for rate: sixteen times the
	// first.
	refusedDoublings = 4
	// idleFactor is how many times longer the lease of a node lasts that owns
	// nothing: nobody waits for its successor, and renewals grow with the fleet.
	idleFactor = 3
)

// leaseState is the node's lease and its key under it.
type leaseState struct {
	id  int64
	ttl time.Duration
	// until is when the lease surely still stands.
	until time.Time
	// written: the node's key hangs on the lease, as far as is known.
	written bool
}

// keepLease keeps the node's key in the store until ctx ends.
func (c *Cluster) keepLease(ctx context.Context) error {
	refused := 0 // calls in a row that the store refused for their rate
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

// retryPause returns how long to wait after a call that failed, and after so many
// in a row that were refused for their rate: many nodes that start at once must not
// keep each other refused. What owns something waits the least.
func (c *Cluster) retryPause(refused int) time.Duration {
	c.mu.Lock()
	owns := len(c.held) > 0
	c.mu.Unlock()
	pause := c.options.TTL / retriesPerTTL
	if !owns {
		pause <<= min(refused, refusedDoublings)
	}
	return pause/2 + rand.N(pause)
}

// ttl returns how long the node's lease is to last now.
func (c *Cluster) ttl() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 {
		return c.options.TTL
	}
	return idleFactor * c.options.TTL
}

// waitForLease waits, but not on when the node's key was seen to be gone, or when
// the node came to own something under a long lease.
func (c *Cluster) waitForLease(ctx context.Context, pause time.Duration) {
	const step = 50 * time.Millisecond
	for ; pause > 0 && wait.For(ctx, min(step, pause)); pause -= step {
		c.mu.Lock()
		gone := c.lease.id != 0 && !c.lease.written
		long := len(c.held) > 0 && c.lease.ttl > c.options.TTL
		c.mu.Unlock()
		if gone || long {
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
		// The key moves to a shorter lease; the long one ends by itself.
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
			c.lease.until = sent.Add(state.ttl)
			c.mu.Unlock()
		}
		return err
	}
	return c.writeSelf(callCtx, state, sent)
}

// writeSelf writes the node's key, under a new lease if there is none.
func (c *Cluster) writeSelf(ctx context.Context, state leaseState, sent time.Time) error {
	if state.id == 0 {
		ttl := c.ttl()
		id, err := c.options.Store.Grant(ctx, ttl)
		if err != nil {
			return err
		}
		state = leaseState{id: id, ttl: ttl, until: sent.Add(ttl)}
		c.setLease(state)
	}
	value, err := json.Marshal(c.Self())
	if err != nil {
		return ErrNotConfirmed.Wrap(err, "node record")
	}
	_, err = c.options.Store.Commit(ctx, metastore.Txn{Puts: []metastore.Put{{
		Key: nodePrefix + c.options.Self.Name, Value: value, Lease: state.id,
	}}})
	if errorx.IsOfType(err, metastore.ErrLeaseEnded) {
		c.setLease(leaseState{})
		return err
	}
	if err != nil {
		return err
	}
	state.written = true
	c.setLease(state)
	return nil
}

func (c *Cluster) setLease(state leaseState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = state
}

// Confirmed reports whether the node's lease surely stands now.
func (c *Cluster) Confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.written && c.now().Before(c.lease.until)
}

// Leave tells the others that this node hands over what it owns.
func (c *Cluster) Leave(ctx context.Context) {
	c.mu.Lock()
	c.options.Self.Leaving = true
	state := c.lease
	c.mu.Unlock()
	if err := c.writeSelf(ctx, state, c.now()); err != nil {
		event.UnitNotTaken.Log(ctx, c.options.Logger, slog.String("unit", "leaving"), slog.String("cause", err.Error()))
	}
}

// EndLease removes the node's key.
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
