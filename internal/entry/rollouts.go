package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/rollout"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

const (
	// replicasTimeout bounds the query to the control goroutine.
	replicasTimeout = time.Second
	// loadRetry is the delay before accepted rollouts are read again after a failure.
	loadRetry = 2 * time.Second
)

// newRollouts creates the acceptor of rollouts and the executor that stages and
// activates them.
func (b *builder) newRollouts(p *parts) *rollout.Acceptor {
	acceptor := &rollout.Acceptor{Store: b.store, Control: p.control, Logger: b.logger, Spread: func(ctx context.Context, record rollout.Record) error {
		return p.control.SpreadVersions(ctx, record.Model, record.Version, record.Floor)
	}}
	executor := rollout.NewExecutor(rollout.Options{
		Store:      b.store,
		Owner:      p.owner,
		Orders:     engine.NewOrderClient(engine.NewTransport()),
		Control:    p.control,
		Newest:     b.newestVersions,
		Replicas:   func(model string) []rollout.Replica { return replicasOf(p.control, model) },
		Best:       b.isPreferredOwner,
		Logger:     b.logger,
		Registerer: b.registry,
	})
	p.runs = append(p.runs, executor.Run, func(ctx context.Context) error { return b.loadRollouts(ctx, acceptor) })
	return acceptor
}

func (b *builder) newestVersions() map[string]int64 {
	newest := map[string]int64{}
	for model, versions := range b.snapshots.Load().Versions {
		newest[model] = versions.Newest
	}
	return newest
}

// isPreferredOwner reports whether this entry is the preferred owner of a unit among the live
// entries that are not leaving.
func (b *builder) isPreferredOwner(unit string) bool {
	return ownership.Best(unit, b.stayingIDs()) == b.cfg.ID
}

func (b *builder) stayingIDs() []string {
	var ids []string
	for _, peer := range b.snapshots.Load().Peers {
		if !peer.Leaving {
			ids = append(ids, peer.ID)
		}
	}
	return ids
}

func replicasOf(manager *control.Manager, model string) []rollout.Replica {
	ctx, cancel := context.WithTimeout(context.Background(), replicasTimeout)
	defer cancel()
	var replicas []rollout.Replica
	for _, e := range manager.Replicas(ctx, model) {
		if e.Leaving {
			continue
		}
		replicas = append(replicas, rollout.Replica{
			ID:            e.ID,
			Address:       e.Address,
			Domain:        e.FailureDomain,
			ChecksFence:   e.ChecksFence,
			ActiveVersion: e.ActiveVersion,
			ReportedAt:    e.ReportedAt,
		})
	}
	return replicas
}

// loadRollouts reads the accepted rollouts and retries until a read succeeds. Peers report
// rollouts that are accepted later.
func (b *builder) loadRollouts(ctx context.Context, acceptor *rollout.Acceptor) error {
	for {
		err := acceptor.Load(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		event.RolloutsUnread.Log(ctx, b.logger, slog.String("cause", err.Error()))
		wait.For(ctx, loadRetry)
	}
}
