package rollout

import (
	"context"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// namesLogged bounds the replicas that one log line names.
const namesLogged = 5

// pass is one attempt to bring a failure domain to a version.
type pass struct {
	*Carrier
	unit     *unit
	version  int64
	replicas []Replica
	tenure   ownership.Tenure
	// sending ends with the entry only: a pass that is superseded waits for its
	// orders, so that those of the next do not add to them.
	sending context.Context
	// unfenced is when the first order may go to an engine that ignores fencing.
	unfenced time.Time
}

// pass takes the unit, stages, waits for the other domains, activates, and
// gives the unit up.
func (c *Carrier) pass(ctx context.Context, u *unit, version int64, replicas []Replica) {
	defer c.rest(u, version, replicas)
	key := unitOf(u.model, u.domain)
	tenure, err := c.hold(ctx, key)
	if err != nil {
		return
	}
	defer c.giveUp(key)
	if version, err = c.accepted(ctx, u.model, version); err != nil {
		return
	}
	p := &pass{Carrier: c, unit: u, version: version, replicas: replicas, tenure: tenure, sending: ctx, unfenced: time.Now().Add(c.options.longestOrder())}
	p.log(ctx, event.RolloutBegun, slog.Int("replicas", len(replicas)), slog.Int64("epoch", tenure.Epoch))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer p.superviseUntil(ctx, cancel)()
	p.finish(ctx, p.run(ctx))
}

func (c *Carrier) hold(ctx context.Context, key string) (ownership.Tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	tenure, err := c.options.Owner.Acquire(ctx, key)
	if err != nil && !errorx.IsOfType(err, ownership.ErrHeldElsewhere) {
		event.RolloutStoreBad.Log(ctx, c.options.Logger, slog.String("unit", key), slog.String("error", err.Error()))
	}
	return tenure, err
}

// accepted reads the newest accepted version, since this entry may not have
// heard of it and must not bring engines back to an older one.
func (c *Carrier) accepted(ctx context.Context, model string, heard int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, _, err := readRecord(ctx, c.options.Store, model)
	if err != nil {
		event.RolloutStoreBad.Log(ctx, c.options.Logger, slog.String("model", model), slog.String("error", err.Error()))
		return 0, err
	}
	if record.Version > heard {
		c.options.Control.SetVersions(ctx, model, record.Version, record.Floor)
	}
	return max(record.Version, heard), nil
}

func (c *Carrier) giveUp(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// A release that fails costs only the rest of the lease.
	_ = c.options.Owner.Release(ctx, key)
}

// run brings the replicas to the version as far as it can.
func (p *pass) run(ctx context.Context) error {
	began := time.Now()
	if err := p.stageAll(ctx); err != nil {
		return err
	}
	p.metrics.staging.WithLabelValues(p.unit.model).Observe(time.Since(began).Seconds())
	if err := p.awaitOthers(ctx); err != nil {
		return err
	}
	began = time.Now()
	err := p.activateAll(ctx)
	p.metrics.activation.WithLabelValues(p.unit.model).Observe(time.Since(began).Seconds())
	return err
}

// superviseUntil cancels the pass when a newer version is accepted; the
// function that it returns ends the watch.
func (p *pass) superviseUntil(ctx context.Context, cancel context.CancelCauseFunc) func() {
	done := make(chan struct{})
	p.work.Go(func() {
		ticker := time.NewTicker(p.options.Interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if p.options.Newest()[p.unit.model] > p.version {
					cancel(ErrSuperseded.New("a newer version was accepted"))
					return
				}
			case <-done:
				return
			case <-ctx.Done():
				return
			}
		}
	})
	return func() { close(done) }
}

// finish logs how the pass ended.
func (p *pass) finish(ctx context.Context, err error) {
	if errorx.IsOfType(context.Cause(ctx), ErrSuperseded) {
		p.log(ctx, event.RolloutSuperseded)
		return
	}
	if errorx.IsOfType(err, errLost) {
		p.log(ctx, event.RolloutLost, slog.String("error", err.Error()))
		return
	}
	left := p.left(p.unit, p.version, p.replicas)
	if len(left) == 0 {
		p.log(ctx, event.RolloutActive, slog.Int("replicas", len(p.replicas)))
		return
	}
	p.log(ctx, event.RolloutIncomplete, slog.Int("left", len(left)), slog.Any("replicas", left[:min(len(left), namesLogged)]))
}

func (p *pass) log(ctx context.Context, e event.Event, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.String("model", p.unit.model), slog.String("domain", p.unit.domain), slog.Int64("version", p.version)}, attrs...)
	e.Log(ctx, p.options.Logger, attrs...)
}

// replicaEvents are logged for single replicas.
var broke, mended = event.ReplicaBroken, event.ReplicaMended

func (c *Carrier) logReplica(ctx context.Context, e event.Event, u *unit, r Replica, version int64) {
	e.Log(ctx, c.options.Logger, slog.String("model", u.model), slog.String("endpoint", r.ID), slog.Int64("version", version))
}
