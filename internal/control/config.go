package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/event"
)

// storeSource is logged as the source of a class document that was read from the
// platform's key-value service; other sources are the IDs of peers.
const storeSource = "store"

// watchConfig watches the class document until the context ends.
func (m *Manager) watchConfig(ctx context.Context) error {
	wait := func() time.Duration {
		if m.noLivePeers.Load() {
			return noPeersWatchWait
		}
		return watchWait
	}
	m.options.Config.Watch(ctx, wait, func(o config.Observation) { m.send(ctx, configObservation(o)) })
	return nil
}

// configObservation is an input that carries what the watch of the class document
// observed.
type configObservation config.Observation

func (o configObservation) apply(ctx context.Context, m *Manager, now time.Time) {
	if m.storeReachable != o.Reachable {
		m.storeReachable = o.Reachable
		m.dirty.any, m.dirty.urgent = true, true
	}
	if o.Record != nil {
		m.adopt(ctx, now, o.Record, storeSource)
		m.checkStoreBehind(ctx, o.Record)
	}
	if !o.ConfirmedAt.IsZero() {
		m.confirm(o.ConfirmedAt)
	}
}

// checkStoreBehind logs once when the key-value service has an older class document
// than this entry, for example after the service lost a write.
func (m *Manager) checkStoreBehind(ctx context.Context, record *config.Record) {
	behind := record.Document.Revision < m.classes.Revision
	if behind && !m.storeStale {
		event.ConfigStoreBehind.Log(ctx, m.logger, slog.Int64("store", record.Document.Revision), slog.Int64("held", m.classes.Revision))
	}
	m.storeStale = behind
}

// adopt puts a newer class document in force and sends it to peers at once. A
// document whose revision is not higher is ignored.
func (m *Manager) adopt(ctx context.Context, now time.Time, record *config.Record, source string) {
	if record.Document.Revision <= m.classes.Revision {
		return
	}
	m.classes = record.Document
	m.state.SetConfig(record.Document.Revision, config.Encode(record.Latest()))
	m.metrics.configRevision.Set(float64(record.Document.Revision))
	event.ConfigInForce.Log(ctx, m.logger, slog.Int64("revision", record.Document.Revision), slog.String("by", source))
	m.dirty.any, m.dirty.urgent = true, true
	m.round(ctx, now, urgentPeers)
}

// Apply writes an operator's change to the store, puts it in force on this entry
// and sends it to peers at once. It returns the errors of config.Store.Apply.
func (m *Manager) Apply(ctx context.Context, change config.Change) (config.Result, error) {
	result, err := m.options.Config.Apply(ctx, change)
	if err != nil {
		return config.Result{}, err
	}
	m.do(ctx, func(now time.Time) { m.adopt(ctx, now, result.Record, storeSource) })
	return result, nil
}

// History reads the configuration record with its latest changes from the
// platform's key-value service.
func (m *Manager) History(ctx context.Context) (*config.Record, error) {
	return m.options.Config.Load(ctx)
}
