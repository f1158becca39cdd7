package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/event"
)

// wordOfStore stands for the platform's service where a peer could be named.
const wordOfStore = "store"

// watchConfig holds the watch of the class document.
func (m *Manager) watchConfig(ctx context.Context) error {
	wait := func() time.Duration {
		if m.alone.Load() {
			return aloneWatchWait
		}
		return watchWait
	}
	m.options.Config.Watch(ctx, wait, func(o config.Observation) { m.send(ctx, observed(o)) })
	return nil
}

// observed is an observation of the class document's watch.
type observed config.Observation

func (o observed) apply(ctx context.Context, m *Manager, now time.Time) {
	if m.storeOK != o.Reachable {
		m.storeOK = o.Reachable
		m.dirty.any, m.dirty.urgent = true, true
	}
	if o.Record != nil {
		m.adopt(ctx, now, o.Record, wordOfStore)
		m.checkBehind(ctx, o.Record)
	}
	if !o.ConfirmedAt.IsZero() {
		m.confirm(o.ConfirmedAt)
	}
}

// checkBehind reports a service that lost what the entries hold.
func (m *Manager) checkBehind(ctx context.Context, record *config.Record) {
	behind := record.Document.Revision < m.classes.Revision
	if behind && !m.storeStale {
		event.ConfigStoreBehind.Log(ctx, m.logger, slog.Int64("store", record.Document.Revision), slog.Int64("held", m.classes.Revision))
	}
	m.storeStale = behind
}

// adopt puts a newer class document in force and passes it on at once.
// Revisions only rise.
func (m *Manager) adopt(ctx context.Context, now time.Time, record *config.Record, word string) {
	if record.Document.Revision <= m.classes.Revision {
		return
	}
	m.classes = record.Document
	m.state.SetConfig(record.Document.Revision, config.Encode(record.Latest()))
	m.metrics.configRevision.Set(float64(record.Document.Revision))
	event.ConfigInForce.Log(ctx, m.logger, slog.Int64("revision", record.Document.Revision), slog.String("by", word))
	m.dirty.any, m.dirty.urgent = true, true
	m.round(ctx, now, adoptPeers)
}

// Apply has an operator's change accepted, puts it in force here and passes it
// on to peers at once. Its errors are those of config.Store.Apply.
func (m *Manager) Apply(ctx context.Context, change config.Change) (config.Result, error) {
	result, err := m.options.Config.Apply(ctx, change)
	if err != nil {
		return config.Result{}, err
	}
	m.do(ctx, func(now time.Time) { m.adopt(ctx, now, result.Record, wordOfStore) })
	return result, nil
}

// History reads the record with its latest changes from the platform's service.
func (m *Manager) History(ctx context.Context) (*config.Record, error) {
	return m.options.Config.Load(ctx)
}
