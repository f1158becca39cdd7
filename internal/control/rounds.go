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

// round starts exchanges with some peers.
func (m *Manager) round(ctx context.Context, now time.Time, peers int) {
	for _, to := range m.state.Targets(now, peers, m.random) {
		m.call(ctx, to)
	}
	for _, to := range m.strangers(now, peers) {
		m.call(ctx, to)
	}
}

// strangers are entries of the list that the exchange does not know yet.
func (m *Manager) strangers(now time.Time, limit int) []exchange.Member {
	var unknown []exchange.Member
	for id, instance := range m.entries {
		if len(unknown) < limit && !m.state.Knows(id) {
			unknown = append(unknown, exchange.Member{ID: id, Address: instance.Address})
		}
	}
	return unknown
}

// startExchange swaps news with one peer in a goroutine of its own.
func (m *Manager) startExchange(ctx context.Context, group *errgroup.Group, to exchange.Member) {
	if m.running[to.Address] || len(m.running) >= maxExchanges {
		return
	}
	m.running[to.Address] = true
	now := m.options.Now()
	news := m.state.Request(now, to)
	result := exchanged{to: to, startedAt: now, epoch: m.epoch}
	group.Go(func() error {
		call, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		m.metrics.sentBytes.Add(float64(proto.Size(news)))
		result.reply, result.err = m.options.Peers.Exchange(call, to.Address, news)
		m.send(ctx, result)
		return nil
	})
}

// exchanged is how an exchange ended that this entry began.
type exchanged struct {
	to        exchange.Member
	startedAt time.Time
	epoch     int
	reply     *peerpb.News
	err       error
}

func (e exchanged) apply(ctx context.Context, m *Manager, now time.Time) {
	delete(m.running, e.to.Address)
	if e.err != nil {
		m.metrics.failures.Inc()
		e.blame(m, now)
		return
	}
	m.metrics.receivedBytes.Add(float64(proto.Size(e.reply)))
	if !m.takeNews(ctx, now, e.reply) {
		return
	}
	m.peerAt = now
	m.state.Answered(e.to.ID)
	m.confirmByPeer(now, e)
	m.offerClasses(ctx, e)
}

// blame counts a failure against the peer, unless this entry was frozen itself
// meanwhile.
func (e exchanged) blame(m *Manager, now time.Time) {
	switch {
	case e.epoch != m.epoch:
	case errorx.IsOfType(e.err, exchange.ErrRefused):
		m.state.Refused(now, e.to.ID)
	default:
		m.state.Failed(now, e.to.ID)
	}
}

// offerClasses sends the class document to a peer that is behind, at once and
// once.
func (m *Manager) offerClasses(ctx context.Context, e exchanged) {
	if e.reply.ConfigRevision < m.classes.Revision && !e.to.Behind {
		e.to.Behind = true
		m.call(ctx, e.to)
	}
}

// takeNews merges news; false when it was invalid.
func (m *Manager) takeNews(ctx context.Context, now time.Time, news *peerpb.News) bool {
	received, err := m.state.Receive(now, news)
	if err != nil {
		event.ExchangeInvalid.Log(ctx, m.logger, slog.String("peer", news.GetFrom()), slog.Any("error", err))
		return false
	}
	if received != nil {
		m.adoptEncoded(ctx, now, news.From, received)
	}
	m.reviewNews(news)
	m.dirty.any = true
	return true
}

// reviewNews puts what the news says of endpoints into the next snapshot.
func (m *Manager) reviewNews(news *peerpb.News) {
	for _, word := range news.Leaving {
		if t, known := m.endpoints[word.Endpoint]; known {
			m.reviewLeaving(t)
		}
	}
	for _, judged := range news.Outliers {
		if t, known := m.endpoints[judged.Endpoint]; known && t.followed {
			m.touch(false)
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

// confirmByPeer takes the reply of a peer as word that the class document is
// the newest: of one peer that was confirmed lately itself, or of several.
func (m *Manager) confirmByPeer(now time.Time, e exchanged) {
	if e.reply.ConfigRevision != m.classes.Revision {
		return
	}
	fresh := e.reply.ConfigAgeMs >= 0 && e.reply.ConfigAgeMs < FreshFor.Milliseconds()
	if fresh {
		m.confirm(e.startedAt)
		return
	}
	m.heard[e.to.ID] = e.startedAt
	needed := min(confirmQuorum, len(m.state.Live(now)))
	if len(m.heard) >= needed {
		m.confirm(m.earliestHeard())
	}
}

func (m *Manager) earliestHeard() time.Time {
	var first time.Time
	for _, at := range m.heard {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// confirm records that the class document was the newest at an instant.
func (m *Manager) confirm(at time.Time) {
	stale := !m.options.Now().Before(m.state.ConfirmedAt().Add(FreshFor))
	m.state.Confirm(at)
	clear(m.heard)
	m.dirty.any = true
	m.dirty.urgent = m.dirty.urgent || stale
}

// thawed follows a gap of the clock: what was known may be old, and peers that
// seemed not to answer are not to blame. Until they had time to answer they
// count as reachable, so that traffic waits for them to confirm the classes.
func (m *Manager) thawed(ctx context.Context, now time.Time, gap time.Duration) {
	event.ClockGap.Log(ctx, m.logger, slog.Duration("gap", gap))
	m.epoch++
	clear(m.heard)
	m.peerAt = now
	m.round(ctx, now, confirmQuorum+1)
}

// reviewMembers notices peers that came, went or fell silent.
func (m *Manager) reviewMembers(now time.Time) {
	if m.peersReachable(now) != m.options.Snapshots.Load().PeersReachable {
		m.dirty.any, m.dirty.urgent = true, true
	}
	live := m.state.Live(now)
	m.alone.Store(len(live) == 0)
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

// Exchange answers the news of a peer. It is the Exchange call of peerpb.Peer.
func (m *Manager) Exchange(ctx context.Context, news *peerpb.News) (*peerpb.News, error) {
	var reply *peerpb.News
	var invalid error
	ran := m.do(ctx, func(now time.Time) {
		if !m.takeNews(ctx, now, news) {
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

// Leave tells peers that this entry leaves and waits until some know.
func (m *Manager) Leave(ctx context.Context) {
	m.do(ctx, func(now time.Time) {
		m.state.Leave()
		m.round(ctx, now, adoptPeers)
		m.dirty.any, m.dirty.urgent = true, true
	})
}
