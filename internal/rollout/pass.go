package rollout

import (
	"context"
	"log/slog"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// namesLogged is the maximum number of replicas that one log line lists.
const namesLogged = 5

// pass is one attempt to update the replicas of a failure domain to a version.
type pass struct {
	*Executor
	unit     *unit
	version  int64
	replicas []Replica
	tenure   ownership.Tenure
	// ordersCtx is the context of orders in flight. It ends only when the entry stops:
	// a superseded pass waits for its orders, so that they do not run at the same time
	// as those of the next pass.
	ordersCtx context.Context
	// unfencedFrom is the earliest time for an order to an engine that ignores fencing
	// numbers.
	unfencedFrom time.Time
}

// pass acquires the unit, stages the version, waits for the other domains, activates
// the version and releases the unit.
func (e *Executor) pass(ctx context.Context, u *unit, version int64, replicas []Replica) {
	defer e.endPass(u, version, replicas)
	key := unitOf(u.model, u.domain)
	tenure, err := e.acquire(ctx, key)
	if err != nil {
		return
	}
	defer e.release(key)
	if version, err = e.acceptedVersion(ctx, u.model, version); err != nil {
		return
	}
	p := &pass{Executor: e, unit: u, version: version, replicas: replicas, tenure: tenure, ordersCtx: ctx, unfencedFrom: time.Now().Add(e.options.longestOrder())}
	p.log(ctx, event.RolloutStarted, slog.Int("replicas", len(replicas)), slog.Int64("epoch", tenure.Epoch))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer p.cancelWhenSuperseded(ctx, cancel)()
	p.finish(ctx, p.run(ctx))
}

func (e *Executor) acquire(ctx context.Context, key string) (ownership.Tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	tenure, err := e.options.Owner.Acquire(ctx, key)
	if err != nil && !errorx.IsOfType(err, ownership.ErrHeldElsewhere) {
		event.RolloutStoreUnavailable.Log(ctx, e.options.Logger, slog.String("unit", key), slog.String("error", err.Error()))
	}
	return tenure, err
}

// acceptedVersion reads the newest accepted version from the store and returns the higher of
// it and known. This entry may not have received the newest version yet and must not
// revert engines to an older one.
func (e *Executor) acceptedVersion(ctx context.Context, model string, known int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, _, err := readRecord(ctx, e.options.Store, model)
	if err != nil {
		event.RolloutStoreUnavailable.Log(ctx, e.options.Logger, slog.String("model", model), slog.String("error", err.Error()))
		return 0, err
	}
	if record.Version > known {
		e.options.Control.SetVersions(ctx, model, record.Version, record.Floor)
	}
	return max(record.Version, known), nil
}

// release releases a unit after its pass.
func (e *Executor) release(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// After a failed release the unit stays leased only until the lease expires.
	_ = e.options.Owner.Release(ctx, key)
}

// run stages and activates the version on the replicas. Replicas that fail repeatedly
// are left to the next pass.
func (p *pass) run(ctx context.Context) error {
	start := time.Now()
	if err := p.stageAll(ctx); err != nil {
		return err
	}
	p.metrics.staging.WithLabelValues(p.unit.model).Observe(time.Since(start).Seconds())
	if err := p.awaitOthers(ctx); err != nil {
		return err
	}
	start = time.Now()
	err := p.activateAll(ctx)
	p.metrics.activation.WithLabelValues(p.unit.model).Observe(time.Since(start).Seconds())
	return err
}

// cancelWhenSuperseded starts a goroutine that cancels the pass when a newer version is
// accepted. The returned function stops the goroutine.
func (p *pass) cancelWhenSuperseded(ctx context.Context, cancel context.CancelCauseFunc) func() {
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

// finish logs the outcome of the pass.
func (p *pass) finish(ctx context.Context, err error) {
	if errorx.IsOfType(context.Cause(ctx), ErrSuperseded) {
		p.log(ctx, event.RolloutSuperseded)
		return
	}
	if errorx.IsOfType(err, errLost) {
		p.log(ctx, event.RolloutLost, slog.String("error", err.Error()))
		return
	}
	remaining := p.remaining(p.unit, p.version, p.replicas)
	if len(remaining) == 0 {
		p.log(ctx, event.RolloutActive, slog.Int("replicas", len(p.replicas)))
		return
	}
	p.log(ctx, event.RolloutIncomplete, slog.Int("left", len(remaining)), slog.Any("replicas", remaining[:min(len(remaining), namesLogged)]))
}

func (p *pass) log(ctx context.Context, e event.Event, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.String("model", p.unit.model), slog.String("domain", p.unit.domain), slog.Int64("version", p.version)}, attrs...)
	e.Log(ctx, p.options.Logger, attrs...)
}

// Events that are logged for individual replicas.
var eventBroken, eventRepaired = event.ReplicaBroken, event.ReplicaRestored

func (e *Executor) logReplica(ctx context.Context, ev event.Event, u *unit, r Replica, version int64) {
	ev.Log(ctx, e.options.Logger, slog.String("model", u.model), slog.String("endpoint", r.ID), slog.Int64("version", version))
}
