package control

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"golang.org/x/sync/errgroup"
)

// Bounds of gathering figures for a report. In a large fleet the exchange
// spreads them too slowly, and a report is rare.
const (
	// gatherInterval is the shortest time between two gatherings.
	gatherInterval = 30 * time.Second
	// gatherTimeout bounds one gathering.
	gatherTimeout = 700 * time.Millisecond
	// maxGatherCalls bounds how many peers are asked at once.
	maxGatherCalls = 32
)

// question is one request for a peer's figures.
type question struct {
	to   exchange.Member
	news *peerpb.News
}

// gather asks the live peers for all their figures: the exchange may have
// brought those of some classes only.
func (m *Manager) gather(ctx context.Context) {
	var questions []question
	m.do(ctx, func(now time.Time) { questions = m.questions(now) })
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxGatherCalls)
	for _, q := range questions {
		group.Go(func() error {
			m.ask(ctx, q)
			return nil
		})
	}
	// Peers that do not answer stay unheard; the report says so.
	_ = group.Wait()
}

func (m *Manager) ask(ctx context.Context, q question) {
	reply, err := m.options.Peers.Exchange(ctx, q.to.Address, q.news)
	if err == nil {
		m.send(ctx, gathered{reply: reply})
	}
}

func (m *Manager) questions(now time.Time) []question {
	if now.Sub(m.gatheredAt) < gatherInterval {
		return nil
	}
	m.gatheredAt = now
	var questions []question
	for _, peer := range m.state.Live(now) {
		peer.WantDigests = true
		questions = append(questions, question{to: peer, news: m.state.Request(now, peer)})
	}
	return questions
}

// gathered is the answer to a question.
type gathered struct {
	reply *peerpb.News
}

func (g gathered) apply(ctx context.Context, m *Manager, now time.Time) {
	m.takeNews(ctx, now, g.reply)
}
