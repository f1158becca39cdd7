package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// suspectTimeout bounds how long a failed request waits until the other entries
// know that it is suspected.
const suspectTimeout = 500 * time.Millisecond

// SpreadSuspects tells all live peers of suspected requests and returns when
// they have taken the news over, or have not answered in time; the periodic
// exchange tells those later.
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
