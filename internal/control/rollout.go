package control

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"golang.org/x/sync/errgroup"
)

// SetVersions raises the newest version and the floor of a model and tells
// peers. Lower values change nothing.
func (m *Manager) SetVersions(ctx context.Context, model string, newest, floor int64) {
	m.do(ctx, func(now time.Time) {
		if m.state.SetVersion(model, newest, floor) {
			m.dirty.any, m.dirty.urgent = true, true
			m.round(ctx, now, adoptPeers)
		}
	})
}

// SetUnready keeps an endpoint from new work while a rollout stages or repairs
// it, or lets it go on.
func (m *Manager) SetUnready(ctx context.Context, endpoint string, unready bool) {
	m.do(ctx, func(time.Time) {
		if t, known := m.endpoints[endpoint]; known && t.held != unready {
			t.held = unready
			m.touch(false)
			m.dirty.urgent = true
		}
	})
}

// publishVersions puts raised versions in force before a peer is told that
// they were received.
func (m *Manager) publishVersions(now time.Time) {
	published := m.options.Snapshots.Load().Versions
	m.state.Versions(func(model string, newest, floor int64) {
		if known := published[model]; known.Newest != newest || known.Floor != floor {
			m.dirty.any, m.dirty.urgent = true, true
		}
	})
	if m.dirty.urgent {
		m.publish(now)
	}
}

// SpreadVersions tells all live peers of a model's versions and returns when
// they are in force there. It fails with exchange.ErrUnreachable when a peer
// did not answer.
func (m *Manager) SpreadVersions(ctx context.Context, model string, newest, floor int64) error {
	news := &peerpb.News{
		From:     m.options.ID,
		Versions: []*peerpb.ModelVersion{{Model: model, Newest: newest, Floor: floor}},
	}
	var group errgroup.Group
	group.SetLimit(maxExchanges)
	for _, peer := range m.options.Snapshots.Load().Peers {
		if peer.ID == m.options.ID {
			continue
		}
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			_, err := m.options.Peers.Exchange(call, peer.Address, news)
			return err
		})
	}
	return group.Wait()
}

// Replicas returns all endpoints of a model, those that this entry does not
// follow included.
func (m *Manager) Replicas(ctx context.Context, model string) []*endpoint.Endpoint {
	var replicas []*endpoint.Endpoint
	m.do(ctx, func(time.Time) {
		for _, t := range m.endpoints {
			if t.instance.Serves == model {
				replicas = append(replicas, m.picture(t))
			}
		}
	})
	return replicas
}

// SetDigests replaces this entry's class figures that peers and reports see.
func (m *Manager) SetDigests(ctx context.Context, digests []*peerpb.ClassDigest) {
	m.do(ctx, func(now time.Time) {
		for _, digest := range digests {
			m.state.SetDigest(now, digest)
		}
	})
}

// Digests returns the class figures of all entries that were heard lately, this
// one included. Live peers that were not heard are asked.
func (m *Manager) Digests(ctx context.Context) []exchange.Digest {
	m.gather(ctx)
	var digests []exchange.Digest
	if !m.do(ctx, func(now time.Time) { digests = m.state.Digests(now) }) {
		return nil
	}
	return digests
}
