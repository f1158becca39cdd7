package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// round starts exchanges with up to the given number of peers, and with as many
// entries of the list that are not yet members.
func (m *Manager) round(ctx context.Context, now time.Time, peers int) {
	for _, to := range m.state.Targets(now, peers, m.random) {
		m.call(ctx, to)
	}
	for _, to := range m.unknownEntries(now, peers) {
		m.call(ctx, to)
	}
}

// unknownEntries returns up to limit entries of the list that the exchange does not
// know yet.
func (m *Manager) unknownEntries(now time.Time, limit int) []exchange.Member {
	var unknown []exchange.Member
	for id, instance := range m.entries {
		if len(unknown) < limit && !m.state.Knows(id) {
			unknown = append(unknown, exchange.Member{ID: id, Address: instance.Address})
		}
	}
	return unknown
}

// startExchange exchanges news with one peer in a separate goroutine.
func (m *Manager) startExchange(ctx context.Context, group *errgroup.Group, to exchange.Member) {
	if m.running[to.Address] || len(m.running) >= maxExchanges {
		return
	}
	m.running[to.Address] = true
	now := m.options.Now()
	news := m.state.Request(now, to)
	result := exchangeResult{to: to, startedAt: now, epoch: m.epoch}
	group.Go(func() error {
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		m.metrics.sentBytes.Add(float64(proto.Size(news)))
		result.reply, result.err = m.options.Peers.Exchange(call, to.Address, news)
		m.send(ctx, result)
		return nil
	})
}

// exchangeResult is an input that carries the outcome of an exchange that this entry
// started.
type exchangeResult struct {
	to        exchange.Member
	startedAt time.Time
	epoch     int
	reply     *peerpb.News
	err       error
}

func (e exchangeResult) apply(ctx context.Context, m *Manager, now time.Time) {
	delete(m.running, e.to.Address)
	if e.err != nil {
		m.metrics.failures.Inc()
		e.recordFailure(m, now)
		return
	}
	m.metrics.receivedBytes.Add(float64(proto.Size(e.reply)))
	if !m.mergeNews(ctx, now, e.reply) {
		return
	}
	m.repliedAt = now
	m.state.Answered(e.to.ID)
	m.confirmByPeer(now, e)
	m.sendClasses(ctx, e)
}

// recordFailure counts a failed exchange against the peer, unless this entry itself
// was frozen in the meantime.
func (e exchangeResult) recordFailure(m *Manager, now time.Time) {
	switch {
	case e.epoch != m.epoch:
	case errorx.IsOfType(e.err, exchange.ErrRefused):
		m.state.Refused(now, e.to.ID)
	default:
		m.state.Failed(now, e.to.ID)
	}
}

// sendClasses sends the class document immediately, and only once, to a peer whose
// reply named an older revision.
func (m *Manager) sendClasses(ctx context.Context, e exchangeResult) {
	if e.reply.ConfigRevision < m.classes.Revision && !e.to.Behind {
		e.to.Behind = true
		m.call(ctx, e.to)
	}
}

// mergeNews merges the news of a peer. It returns false if the news is invalid.
func (m *Manager) mergeNews(ctx context.Context, now time.Time, news *peerpb.News) bool {
	received, err := m.state.Receive(now, news)
	if err != nil {
		event.ExchangeInvalid.Log(ctx, m.logger, slog.String("peer", news.GetFrom()), slog.Any("error", err))
		return false
	}
	if received != nil {
		m.adoptEncoded(ctx, now, news.From, received)
	}
	m.markNews(news)
	m.dirty.any = true
	return true
}

// markNews marks the endpoints that the news mentions for the next snapshot.
func (m *Manager) markNews(news *peerpb.News) {
	for _, leaving := range news.Leaving {
		if t, known := m.endpoints[leaving.Endpoint]; known {
			m.updateLeaving(t)
		}
	}
	for _, outlier := range news.Outliers {
		if t, known := m.endpoints[outlier.Endpoint]; known && t.followed {
			m.markEndpoints(false)
		}
	}
}

func (m *Manager) adoptEncoded(ctx context.Context, now time.Time, from string, received *exchange.Config) {
	record, err := config.Decode(received.Data)
	if err != nil || record.Document.Revision != received.Revision {
		event.ExchangeInvalid.Log(ctx, m.logger, slog.String("peer", from), slog.Any("error", err))
		return
	}
	m.adopt(ctx, now, record, from)
}

// confirmByPeer counts the reply of a peer as confirmation that the class document
// is the newest. One peer that was itself confirmed recently is enough; otherwise
// confirmQuorum peers are needed.
func (m *Manager) confirmByPeer(now time.Time, e exchangeResult) {
	if e.reply.ConfigRevision != m.classes.Revision {
		return
	}
	fresh := e.reply.ConfigAgeMs >= 0 && e.reply.ConfigAgeMs < FreshFor.Milliseconds()
	if fresh {
		m.confirm(e.startedAt)
		return
	}
	m.replied[e.to.ID] = e.startedAt
	needed := min(confirmQuorum, len(m.state.Live(now)))
	if len(m.replied) >= needed {
		m.confirm(m.earliestReply())
	}
}

func (m *Manager) earliestReply() time.Time {
	var earliest time.Time
	for _, startedAt := range m.replied {
		if earliest.IsZero() || startedAt.Before(earliest) {
			earliest = startedAt
		}
	}
	return earliest
}

// confirm records that the class document was the newest at the given time.
func (m *Manager) confirm(at time.Time) {
	stale := !m.options.Now().Before(m.state.ConfirmedAt().Add(FreshFor))
	m.state.Confirm(at)
	clear(m.replied)
	m.dirty.any = true
	m.dirty.urgent = m.dirty.urgent || stale
}

// handleClockGap runs after a clock gap: the known state may be outdated, and failed
// exchanges started before the gap are not counted against the peers. Peers count as
// reachable until they have had time to answer, so that traffic waits for them to
// confirm the classes.
func (m *Manager) handleClockGap(ctx context.Context, now time.Time, gap time.Duration) {
	event.ClockGap.Log(ctx, m.logger, slog.Duration("gap", gap))
	m.epoch++
	clear(m.replied)
	m.repliedAt = now
	m.round(ctx, now, confirmQuorum+1)
}

// updateMembers marks changes in the set of live peers and in their reachability for
// the next snapshot.
func (m *Manager) updateMembers(now time.Time) {
	if m.peersReachable(now) != m.options.Snapshots.Load().PeersReachable {
		m.dirty.any, m.dirty.urgent = true, true
	}
	live := m.state.Live(now)
	m.noLivePeers.Store(len(live) == 0)
	signature := uint64(len(live))
	for _, peer := range live {
		signature ^= hashOf(peer.ID)
	}
	if signature != m.liveSignature {
		m.liveSignature = signature
		m.dirty.any, m.dirty.follow, m.dirty.urgent = true, true, true
	}
	m.metrics.livePeers.Set(float64(len(live)))
}

// Exchange merges the news of a peer and returns this entry's news. It implements the
// Exchange method of peerpb.Peer.
func (m *Manager) Exchange(ctx context.Context, news *peerpb.News) (*peerpb.News, error) {
	var reply *peerpb.News
	var invalid error
	ran := m.do(ctx, func(now time.Time) {
		if !m.mergeNews(ctx, now, news) {
			invalid = exchange.ErrInvalid.New("news of %q", news.GetFrom())
			return
		}
		m.publishVersions(now)
		reply = m.state.Reply(now, news)
	})
	if !ran {
		return nil, exchange.ErrUnreachable.New("the entry is shutting down")
	}
	if invalid != nil {
		return nil, twirp.InvalidArgumentError("news", invalid.Error())
	}
	m.metrics.receivedBytes.Add(float64(proto.Size(news)))
	m.metrics.sentBytes.Add(float64(proto.Size(reply)))
	return reply, nil
}

// Leave marks this entry as leaving and starts exchanges that report it to some
// peers.
func (m *Manager) Leave(ctx context.Context) {
	m.do(ctx, func(now time.Time) {
		m.state.Leave()
		m.round(ctx, now, urgentPeers)
		m.dirty.any, m.dirty.urgent = true, true
	})
}
