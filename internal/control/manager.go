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

// Manager holds the control state of an entry and the channels into its control
// goroutine. Only the control goroutine, which Run starts, accesses the fields
// that are marked as owned by it.
type Manager struct {
	options      Options
	logger       *slog.Logger
	metrics      *metrics
	inputs       chan input
	observations chan input
	observer     *Observer
	// stopped is closed when the control goroutine ends.
	stopped chan struct{}
	// noLivePeers reports whether there is no live peer; watchConfig reads it.
	noLivePeers atomic.Bool
	// followed holds the targets of pollLoads.
	followed atomic.Pointer[[]target]

	// The fields below are owned by the control goroutine.
	state     *exchange.State
	classes   *class.Document
	endpoints map[string]*tracked
	following []*tracked                   // the followed endpoints by ID
	entries   map[string]keyvalue.Instance // entries of the list, except this one
	detectors map[string]OutlierDetector
	random    *rand.Rand
	lastWake  time.Time
	epoch     int // incremented at each clock gap
	running   map[string]bool
	// replied holds, for each peer that replied since the last confirmation, the start
	// of the exchange.
	replied        map[string]time.Time
	repliedAt      time.Time // when a peer last answered
	storeReachable bool
	storeStale     bool
	evaluatedAt    time.Time // when updateDemotions last ran
	gatheredAt     time.Time
	dirty          dirtyFlags
	// listRead reports whether the list was read since the start; for settled, see
	// updateSettled.
	listRead, settled bool
	startedAt         time.Time
	listUnreachable   bool
	wasConnected      bool // true once the store or a peer has answered
	isolated          bool
	// liveSignature is a hash of the set of live peers that detects changes.
	liveSignature uint64
	// call starts an exchange with a peer.
	call func(ctx context.Context, to exchange.Member)
}

// dirtyFlags lists what changed since the last snapshot.
type dirtyFlags struct {
	any       bool
	endpoints bool
	follow    bool
	// urgent requests a snapshot at once instead of at the next flush.
	urgent bool
}

// input is one message to the control goroutine.
type input interface {
	apply(ctx context.Context, m *Manager, now time.Time)
}

// New returns a Manager that is idle until Run is called.
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
		detectors:    map[string]OutlierDetector{},
		random:       rand.New(rand.NewPCG(uint64(options.Incarnation), hashOf(options.ID))),
		running:      map[string]bool{},
		replied:      map[string]time.Time{},
		state: exchange.NewState(exchange.Options{
			ID: options.ID, Address: options.Address, FailureDomain: options.FailureDomain,
			Incarnation: options.Incarnation, Suspects: options.Suspects,
		}),
	}
	m.metrics = newMetrics(registerer)
	m.observer = &Observer{manager: m}
	m.noLivePeers.Store(true)
	return m
}

// Snapshots returns the holder of the newest snapshot of the control state.
func (m *Manager) Snapshots() *Snapshots {
	return m.options.Snapshots
}

// Run starts the control goroutine and its watch, list and load readers, and returns
// when the context ends.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.loop(ctx, group) })
	group.Go(func() error { return m.watchConfig(ctx) })
	group.Go(func() error { return m.readList(ctx) })
	group.Go(func() error { return m.pollLoads(ctx) })
	return group.Wait()
}

// loop is the control goroutine.
func (m *Manager) loop(ctx context.Context, group *errgroup.Group) error {
	defer close(m.stopped)
	// Exchanges use the context of Run, because they outlive the calls that start
	// them.
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

// wake reads the clock. A gap since the last reading means that the process was
// frozen, which is handled before anything else.
func (m *Manager) wake(ctx context.Context) time.Time {
	now := m.options.Now()
	gap := now.Sub(m.lastWake)
	m.lastWake = now
	if gap >= clockGap {
		m.handleClockGap(ctx, now, gap)
	}
	return now
}

// tick runs one round: it drops expired exchange state, updates demotions, starts
// exchanges with peers and updates the set of live peers.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.state.Tick(now)
	m.updateDemotions(now)
	m.round(ctx, now, m.roundPeers(now))
	m.updateMembers(now)
	m.dirty.any = m.dirty.any || !m.settled
}

// roundPeers returns the number of peers in a round. In a large fleet it is halved,
// so that the exchange leaves enough of the control traffic budget for load
// readings.
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

// send passes an input to the control goroutine. It returns false if the control
// goroutine or the context has ended.
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

// do runs f in the control goroutine and waits for it. It returns false if f did not
// run or may not have run.
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

// task is an input that runs a function in the control goroutine and closes done.
type task struct {
	run  func(now time.Time)
	done chan struct{}
}

func (t task) apply(_ context.Context, _ *Manager, now time.Time) {
	t.run(now)
	close(t.done)
}
