package control

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"golang.org/x/sync/errgroup"
)

// Limits on collecting class digests for a report. In a large fleet the periodic
// exchange spreads digests too slowly for a report, and reports are rare enough to
// query all peers directly.
const (
	// gatherInterval is the minimum time between two collections.
	gatherInterval = 30 * time.Second
	// gatherTimeout bounds one collection.
	gatherTimeout = 700 * time.Millisecond
	// maxGatherCalls bounds the number of concurrent calls to peers.
	maxGatherCalls = 32
)

// digestRequest is one request for all of a peer's class digests.
type digestRequest struct {
	to   exchange.Member
	news *peerpb.News
}

// gather requests all class digests from the live peers, because the periodic
// exchange may have delivered the digests of only some classes.
func (m *Manager) gather(ctx context.Context) {
	var requests []digestRequest
	m.do(ctx, func(now time.Time) { requests = m.digestRequests(now) })
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxGatherCalls)
	for _, request := range requests {
		group.Go(func() error {
			m.fetchDigests(ctx, request)
			return nil
		})
	}
	// Digests of peers that do not answer are missing, which the report states.
	_ = group.Wait()
}

func (m *Manager) fetchDigests(ctx context.Context, request digestRequest) {
	reply, err := m.options.Peers.Exchange(ctx, request.to.Address, request.news)
	if err == nil {
		m.send(ctx, digestReply{reply: reply})
	}
}

func (m *Manager) digestRequests(now time.Time) []digestRequest {
	if now.Sub(m.gatheredAt) < gatherInterval {
		return nil
	}
	m.gatheredAt = now
	var requests []digestRequest
	for _, peer := range m.state.Live(now) {
		peer.WantDigests = true
		requests = append(requests, digestRequest{to: peer, news: m.state.Request(now, peer)})
	}
	return requests
}

// digestReply is an input that carries the reply to a digestRequest.
type digestReply struct {
	reply *peerpb.News
}

func (g digestReply) apply(ctx context.Context, m *Manager, now time.Time) {
	m.mergeNews(ctx, now, g.reply)
}
