package control

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
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

// SetDigests replaces this entry's class figures that peers and reports see.
func (m *Manager) SetDigests(ctx context.Context, digests []*peerpb.ClassDigest) {
	m.do(ctx, func(now time.Time) {
		for _, digest := range digests {
			m.state.SetDigest(now, digest)
		}
	})
}

// Digests returns the class figures of all entries that were heard lately, this
// one included.
func (m *Manager) Digests(ctx context.Context) []exchange.Digest {
	var digests []exchange.Digest
	if !m.do(ctx, func(now time.Time) { digests = m.state.Digests(now) }) {
		return nil
	}
	return digests
}
