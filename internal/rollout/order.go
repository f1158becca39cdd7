package rollout

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// stageAll stages the version on all replicas, with the concurrency that KeepFraction
// and StageConcurrency allow. Replicas that fail are left to the next pass.
func (p *pass) stageAll(ctx context.Context) error {
	concurrency := min(p.options.concurrency(len(p.replicas)), p.options.StageConcurrency)
	return p.forEachReplica(ctx, concurrency, p.stage)
}

// activateAll activates the version on all replicas, with the concurrency that
// KeepFraction allows.
func (p *pass) activateAll(ctx context.Context) error {
	return p.forEachReplica(ctx, p.options.concurrency(len(p.replicas)), p.activate)
}

// forEachReplica runs work on all replicas, at most concurrency of them at a time. Only the
// loss of ownership or the end of ctx stops it early.
func (p *pass) forEachReplica(ctx context.Context, concurrency int, work func(context.Context, Replica) error) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(concurrency)
	for _, r := range p.replicas {
		if groupCtx.Err() != nil {
			break
		}
		group.Go(func() error { return p.retry(groupCtx, r, work) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// retry runs work on one replica until it succeeds, up to maxAttempts times with
// backoff.
func (p *pass) retry(ctx context.Context, r Replica, work func(context.Context, Replica) error) error {
	for attempt := range maxAttempts {
		err := work(ctx, r)
		if err == nil || errorx.IsOfType(err, errLost) {
			return err
		}
		if !wait.For(ctx, orderBackoff<<attempt) {
			return ctx.Err()
		}
	}
	return nil // the next pass retries this replica
}

// stage stages the version on one replica unless it is already staged or active.
func (p *pass) stage(ctx context.Context, r Replica) error {
	state, err := p.state(ctx, r)
	if err != nil {
		return err
	}
	if state.Active > p.version {
		return errLost.New("%s is at version %d", r.ID, state.Active)
	}
	if state.Staged == p.version || p.atVersion(state) {
		return nil
	}
	order, err := p.order(ctx, r, p.options.StageOrder)
	if err != nil {
		return err
	}
	sendCtx, cancel := context.WithTimeout(p.ordersCtx, p.options.StageTimeout)
	defer cancel()
	state, err = p.options.Orders.Stage(sendCtx, r.Address, order)
	if err == nil && state.Staged != p.version && !p.atVersion(state) {
		err = engine.ErrOrderFailed.New("the engine reports staged version %d", state.Staged)
	}
	return p.checkOrder(err, "stage")
}

// activate activates the version on one replica and reads its state back. If the swap
// failed partway, the replica is marked unready until it runs the version.
func (p *pass) activate(ctx context.Context, r Replica) error {
	order, err := p.order(ctx, r, p.options.ActivateOrder)
	if err != nil {
		return err
	}
	state, err := p.sendActivate(r, order)
	if ownershipErr := p.checkOrder(err, "activate"); errorx.IsOfType(ownershipErr, errLost) {
		return ownershipErr
	}
	if err != nil {
		if state, err = p.state(ctx, r); err != nil {
			return err
		}
	}
	return p.evaluate(ctx, r, state)
}

func (p *pass) sendActivate(r Replica, order engine.WeightOrder) (engine.WeightState, error) {
	ctx, cancel := context.WithTimeout(p.ordersCtx, p.options.ActivateTimeout)
	defer cancel()
	return p.options.Orders.Activate(ctx, r.Address, order)
}

// evaluate acts on the state read back from a replica after an activation: it records
// success, marks a broken replica, or returns an error for a retry.
func (p *pass) evaluate(ctx context.Context, r Replica, state engine.WeightState) error {
	if p.atVersion(state) {
		p.verify(ctx, p.unit, r, p.version)
		return nil
	}
	if state.Broken {
		p.markBroken(ctx, p.unit, r, p.version)
	}
	if state.Staged != p.version {
		return nil // no longer staged: the next pass stages it first
	}
	return engine.ErrOrderFailed.New("%s is at version %d", r.ID, state.Active)
}

// atVersion reports whether a replica in this state runs the version.
func (p *pass) atVersion(state engine.WeightState) bool {
	return state.Active == p.version && !state.Broken
}

func (p *pass) state(ctx context.Context, r Replica) (engine.WeightState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return p.options.Orders.State(ctx, r.Address)
}

// order returns an order that the engine must begin within the given time. For an
// engine that ignores fencing numbers it first waits until no order of a previous
// owner can be running. The ownership is checked after the deadline is set: if the
// order is delayed after the check, the engine drops it at the deadline.
func (p *pass) order(ctx context.Context, r Replica, within time.Duration) (engine.WeightOrder, error) {
	if !r.ChecksFence && !wait.For(ctx, time.Until(p.unfencedFrom)) {
		return engine.WeightOrder{}, ctx.Err()
	}
	order := engine.WeightOrder{Version: p.version, Fence: p.tenure.Epoch, Deadline: time.Now().Add(within)}
	if !p.options.Owner.Valid(p.tenure) {
		return engine.WeightOrder{}, errLost.New("the lease is no longer certain to be valid")
	}
	return order, nil
}

// checkOrder counts a failed order and returns its error. A fenced order means that the
// unit has a new owner and becomes errLost.
func (p *pass) checkOrder(err error, order string) error {
	if err == nil {
		return nil
	}
	p.metrics.failures.WithLabelValues(p.unit.model, order).Inc()
	if errorx.IsOfType(err, engine.ErrFenced) {
		return errLost.Wrap(err, "a later owner has sent orders")
	}
	return err
}
