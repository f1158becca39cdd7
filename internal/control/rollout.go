package control

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"golang.org/x/sync/errgroup"
)

// SetVersions raises the newest version and the floor of a model and sends them to
// peers. Lower values change nothing.
func (m *Manager) SetVersions(ctx context.Context, model string, newest, floor int64) {
	m.do(ctx, func(now time.Time) {
		if m.state.SetVersion(model, newest, floor) {
			m.dirty.any, m.dirty.urgent = true, true
			m.round(ctx, now, urgentPeers)
		}
	})
}

// SetUnready keeps new work from an endpoint while a rollout stages or repairs it,
// or allows new work again.
func (m *Manager) SetUnready(ctx context.Context, endpoint string, unready bool) {
	m.do(ctx, func(time.Time) {
		if t, known := m.endpoints[endpoint]; known && t.rolloutUnready != unready {
			t.rolloutUnready = unready
			m.markEndpoints(false)
			m.dirty.urgent = true
		}
	})
}

// publishVersions puts raised versions in force before their receipt is
// acknowledged to the peer that sent them.
func (m *Manager) publishVersions(now time.Time) {
	published := m.options.Snapshots.Load().Versions
	m.state.Versions(func(model string, newest, floor int64) {
		if versions := published[model]; versions.Newest != newest || versions.Floor != floor {
			m.dirty.any, m.dirty.urgent = true, true
		}
	})
	if m.dirty.urgent {
		m.publish(now)
	}
}

// SpreadVersions sends a model's versions to all live peers and returns when they
// are in force there. It fails with exchange.ErrUnreachable or exchange.ErrRefused if a
// peer does not answer.
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

// Replicas returns all endpoints of a model, including those that this entry does
// not follow.
func (m *Manager) Replicas(ctx context.Context, model string) []*endpoint.Endpoint {
	var replicas []*endpoint.Endpoint
	m.do(ctx, func(time.Time) {
		for _, t := range m.endpoints {
			if t.instance.Serves == model {
				replicas = append(replicas, m.endpointSnapshot(t))
			}
		}
	})
	return replicas
}

// SetDigests replaces this entry's class digests, which peers and reports use.
func (m *Manager) SetDigests(ctx context.Context, digests []*peerpb.ClassDigest) {
	m.do(ctx, func(now time.Time) {
		for _, digest := range digests {
			m.state.SetDigest(now, digest)
		}
	})
}

// Digests returns the recent class digests of all entries, including this one. It
// first requests the digests of the live peers, unless that was done recently.
func (m *Manager) Digests(ctx context.Context) []exchange.Digest {
	m.gather(ctx)
	var digests []exchange.Digest
	if !m.do(ctx, func(now time.Time) { digests = m.state.Digests(now) }) {
		return nil
	}
	return digests
}
