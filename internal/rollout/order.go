package rollout

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// stageAll stages the version on all replicas, a few at a time. Replicas that
// fail are left to the next pass.
func (p *pass) stageAll(ctx context.Context) error {
	width := min(p.options.width(len(p.replicas)), p.options.StageConcurrency)
	return p.each(ctx, width, p.stage)
}

// activateAll activates the version on all replicas, as many at a time as the
// kept share allows.
func (p *pass) activateAll(ctx context.Context) error {
	return p.each(ctx, p.options.width(len(p.replicas)), p.activate)
}

// each runs work on all replicas, width at a time. Only a lost ownership or the
// end of ctx ends it early.
func (p *pass) each(ctx context.Context, width int, work func(context.Context, Replica) error) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(width)
	for _, r := range p.replicas {
		if groupCtx.Err() != nil {
			break
		}
		group.Go(func() error { return p.persist(groupCtx, r, work) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// persist repeats work on one replica a few times.
func (p *pass) persist(ctx context.Context, r Replica, work func(context.Context, Replica) error) error {
	for try := range tries {
		err := work(ctx, r)
		if err == nil || errorx.IsOfType(err, errLost) {
			return err
		}
		if !wait.For(ctx, orderBackoff<<try) {
			return ctx.Err()
		}
	}
	return nil // the next pass tries again
}

// stage makes one replica hold the version ready.
func (p *pass) stage(ctx context.Context, r Replica) error {
	state, err := p.state(ctx, r)
	if err != nil {
		return err
	}
	if state.Active > p.version {
		return errLost.New("%s is at version %d", r.ID, state.Active)
	}
	if state.Staged == p.version || p.at(state) {
		return nil
	}
	order, err := p.order(ctx, r, p.options.StageOrder)
	if err != nil {
		return err
	}
	sendCtx, cancel := context.WithTimeout(p.sending, p.options.StageTimeout)
	defer cancel()
	state, err = p.options.Orders.Stage(sendCtx, r.Address, order)
	if err == nil && state.Staged != p.version && !p.at(state) {
		err = engine.ErrOrderFailed.New("staged %d", state.Staged)
	}
	return p.judge(err, "stage")
}

// activate makes one replica serve the version and reads it back. A swap that
// failed partway takes the replica out until it is.
func (p *pass) activate(ctx context.Context, r Replica) error {
	order, err := p.order(ctx, r, p.options.ActivateOrder)
	if err != nil {
		return err
	}
	state, err := p.sendActivate(r, order)
	if lost := p.judge(err, "activate"); errorx.IsOfType(lost, errLost) {
		return lost
	}
	if err != nil {
		if state, err = p.state(ctx, r); err != nil {
			return err
		}
	}
	return p.settle(ctx, r, state)
}

func (p *pass) sendActivate(r Replica, order engine.WeightOrder) (engine.WeightState, error) {
	ctx, cancel := context.WithTimeout(p.sending, p.options.ActivateTimeout)
	defer cancel()
	return p.options.Orders.Activate(ctx, r.Address, order)
}

// settle judges what a replica was read back at.
func (p *pass) settle(ctx context.Context, r Replica, state engine.WeightState) error {
	if p.at(state) {
		p.verify(ctx, p.unit, r, p.version)
		return nil
	}
	if state.Broken {
		p.breakReplica(ctx, p.unit, r, p.version)
	}
	if state.Staged != p.version {
		return nil // not held ready: the next pass stages it first
	}
	return engine.ErrOrderFailed.New("%s is at version %d", r.ID, state.Active)
}

func (p *pass) at(state engine.WeightState) bool {
	return state.Active == p.version && !state.Broken
}

func (p *pass) state(ctx context.Context, r Replica) (engine.WeightState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return p.options.Orders.State(ctx, r.Address)
}

// order makes an order that may begin within a time from now. It waits until
// an engine that ignores fencing can't be under orders of an earlier owner. The
// ownership is checked after the deadline is set, so that an order that is
// held up afterwards is dropped by the engine.
func (p *pass) order(ctx context.Context, r Replica, within time.Duration) (engine.WeightOrder, error) {
	if !r.ChecksFence && !wait.For(ctx, time.Until(p.unfenced)) {
		return engine.WeightOrder{}, ctx.Err()
	}
	order := engine.WeightOrder{Version: p.version, Fence: p.tenure.Epoch, Deadline: time.Now().Add(within)}
	if !p.options.Owner.Valid(p.tenure) {
		return engine.WeightOrder{}, errLost.New("the lease is not sure any more")
	}
	return order, nil
}

// judge counts a failed order; a fenced one means that the unit has a new owner.
func (p *pass) judge(err error, order string) error {
	if err == nil {
		return nil
	}
	p.metrics.failures.WithLabelValues(p.unit.model, order).Inc()
	if errorx.IsOfType(err, engine.ErrFenced) {
		return errLost.Wrap(err, "a later owner gave orders")
	}
	return err
}
