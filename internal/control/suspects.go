package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// suspectTimeout bounds how long a failed request waits for the other entries to
// record that it is suspected.
const suspectTimeout = 500 * time.Millisecond

// SpreadSuspects sends suspected requests to all live peers and returns when each
// has merged them, failed or timed out. The periodic exchange delivers them later to
// peers that did not answer.
func (m *Manager) SpreadSuspects(rows []*peerpb.Suspect) {
	news := &peerpb.News{From: m.options.ID, Suspects: rows}
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxExchanges)
	for _, peer := range m.options.Snapshots.Load().Peers {
		if peer.ID == m.options.ID {
			continue
		}
		group.Go(func() error {
			_, err := m.options.Peers.Exchange(ctx, peer.Address, news)
			return err
		})
	}
	_ = group.Wait()
}
