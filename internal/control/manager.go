package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

// Manager is the control goroutine's state and its doors: everything below
// "owned" is touched by Run's one goroutine alone.
type Manager struct {
	options      Options
	logger       *slog.Logger
	metrics      *metrics
	inputs       chan input
	observations chan input
	observer     *Observer
	// stopped is closed when Run ends.
	stopped chan struct{}
	// alone: no live peer; read by the watch.
	alone atomic.Bool
	// followed is read by the poller.
	followed atomic.Pointer[[]target]

	// owned by the control goroutine:
	state      *exchange.State
	classes    *class.Document
	endpoints  map[string]*tracked
	following  []*tracked                   // the followed endpoints by ID
	entries    map[string]keyvalue.Instance // entries of the list, but this one
	judges     map[string]Judge
	random     *rand.Rand
	lastWake   time.Time
	epoch      int // rises with each gap of the clock
	running    map[string]bool
	heard      map[string]time.Time // peers that answered since the last confirmation
	peerAt     time.Time            // when a peer answered last
	storeOK    bool
	storeStale bool
	judgedAt   time.Time
	gatheredAt time.Time
	dirty      dirtiness
	// listRead: the list was read since the start; settled: see settle.
	listRead, settled bool
	startedAt         time.Time
	listDown          bool
	started           bool // was connected once
	isolated          bool
	// liveSignature tells sets of live peers apart.
	liveSignature uint64
	// call starts an exchange.
	call func(ctx context.Context, to exchange.Member)
}

// dirtiness says what the next snapshot must show anew.
type dirtiness struct {
	any       bool
	endpoints bool
	follow    bool
	// urgent: publish at once.
	urgent bool
}

// input is one message to the control goroutine.
type input interface {
	apply(ctx context.Context, m *Manager, now time.Time)
}

// New returns a Manager that does nothing until Run.
func New(options Options, logger *slog.Logger, registerer prometheus.Registerer) *Manager {
	options = options.withDefaults()
	m := &Manager{
		options:      options,
		logger:       logger,
		inputs:       make(chan input, inputBuffer),
		observations: make(chan input, observationBuffer),
		stopped:      make(chan struct{}),
		classes:      &class.Document{},
		endpoints:    map[string]*tracked{},
		entries:      map[string]keyvalue.Instance{},
		judges:       map[string]Judge{},
		random:       rand.New(rand.NewPCG(uint64(options.Incarnation), hashOf(options.ID))),
		running:      map[string]bool{},
		heard:        map[string]time.Time{},
		state: exchange.NewState(exchange.Options{
			ID: options.ID, Address: options.Address, FailureDomain: options.FailureDomain,
			Incarnation: options.Incarnation, Suspects: options.Suspects,
		}),
	}
	m.metrics = newMetrics(registerer)
	m.observer = &Observer{manager: m}
	m.alone.Store(true)
	return m
}

// Snapshots returns where the pictures of the control state are published.
func (m *Manager) Snapshots() *Snapshots {
	return m.options.Snapshots
}

// Run owns the control state until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.own(ctx, group) })
	group.Go(func() error { return m.watchConfig(ctx) })
	group.Go(func() error { return m.readList(ctx) })
	group.Go(func() error { return m.pollLoads(ctx) })
	return group.Wait()
}

// own is the control goroutine.
func (m *Manager) own(ctx context.Context, group *errgroup.Group) error {
	defer close(m.stopped)
	// Exchanges outlive the call that began them: they run until the entry ends.
	m.call = func(_ context.Context, to exchange.Member) { m.startExchange(ctx, group, to) }
	rounds := time.NewTicker(m.options.RoundInterval)
	defer rounds.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	m.lastWake = m.options.Now()
	m.startedAt = m.lastWake
	m.publish(m.lastWake)
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-m.inputs:
			in.apply(ctx, m, m.wake(ctx))
		case in := <-m.observations:
			in.apply(ctx, m, m.wake(ctx))
		case <-rounds.C:
			m.tick(ctx, m.wake(ctx))
		case <-flush.C:
			m.flush(m.wake(ctx))
		}
		if m.dirty.urgent {
			m.publish(m.options.Now())
		}
	}
}

// wake reads the clock. A gap since the last reading shows that the process was
// frozen; that is dealt with before anything else.
func (m *Manager) wake(ctx context.Context) time.Time {
	now := m.options.Now()
	gap := now.Sub(m.lastWake)
	m.lastWake = now
	if gap >= clockGap {
		m.thawed(ctx, now, gap)
	}
	return now
}

// tick is one round.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.state.Tick(now)
	m.judge(now)
	m.round(ctx, now, m.roundPeers(now))
	m.reviewMembers(now)
	m.dirty.any = m.dirty.any || !m.settled
}

// roundPeers is the number of peers in a round. In a large fleet it is half,
// so that the exchange leaves room in the budget of control for load readings.
func (m *Manager) roundPeers(now time.Time) int {
	if len(m.state.Live(now)) <= largeFleet {
		return m.options.RoundPeers
	}
	return max(m.options.RoundPeers/2, 1)
}

func (m *Manager) flush(now time.Time) {
	if m.dirty.any {
		m.publish(now)
	}
}

// send hands an input to the control goroutine; false when it has ended or the
// context did.
func (m *Manager) send(ctx context.Context, in input) bool {
	select {
	case m.inputs <- in:
		return true
	case <-m.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// do runs f in the control goroutine and waits for it; false when it did not
// run or may not have.
func (m *Manager) do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	if !m.send(ctx, task{run: f, done: done}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-m.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// task is a piece of work for the control goroutine.
type task struct {
	run  func(now time.Time)
	done chan struct{}
}

func (t task) apply(_ context.Context, _ *Manager, now time.Time) {
	t.run(now)
	close(t.done)
}
