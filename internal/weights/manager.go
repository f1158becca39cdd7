package weights

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Options of a Manager.
type Options struct {
	Service   string
	Directory *fleet.Directory
	Engines   Engines
	Targets   *Targets
	// Models returns the models of the service.
	Models func() []string
	// Mode returns what becomes of a model's runs.
	Mode func(model string) Mode
	// Confirmed reports whether the ownership surely stands, so that orders may
	// be given.
	Confirmed func() bool
	// Changed is called when an endpoint holds another version than before.
	Changed func()
	Holder  string
	Epoch   int64
	Logger  *slog.Logger
}

// Manager orders loads for the endpoints of one service while its owner holds
// the unit. Its state belongs to the goroutine of Run; calls run in others.
type Manager struct {
	options Options
	homes   homes
	kick    chan struct{}

	mu     sync.Mutex
	tracks map[string]*track
}

// track is what is known of one endpoint's orders.
type track struct {
	born int64
	// accepted is the endpoint's count of orders; negative is not known.
	accepted int64
	// calling: an order or a question is under way.
	calling bool
	// loading is the order that is believed to be carried out.
	loading *Order
	// since is when it was accepted, and next when the endpoint is asked or
	// ordered again.
	since, next time.Time
	fenced      bool
}

// NewManager returns a manager; Run must run.
func NewManager(options Options) *Manager {
	return &Manager{options: options, kick: make(chan struct{}, 1), tracks: map[string]*track{}}
}

// tickEvery is how often orders are looked at without a cause.
const tickEvery = 100 * time.Millisecond

// Run orders until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.kick:
		}
		m.pass(ctx, time.Now())
	}
}

// Poke asks for a look at the orders now.
func (m *Manager) Poke() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// job is one order that is due.
type job struct {
	endpoint *fleet.Endpoint
	model    string
	version  int64
}

// pass asks the endpoints that load, and orders loads up to the number that may
// run together.
func (m *Manager) pass(ctx context.Context, now time.Time) {
	endpoints := m.options.Directory.Of(m.options.Service)
	if len(endpoints) == 0 || !m.options.Confirmed() {
		return
	}
	loading := 0
	for _, e := range endpoints {
		t := m.trackOf(e)
		m.settle(ctx, e, t, now)
		if t.loading != nil || t.calling {
			loading++
		}
	}
	for _, j := range m.due(endpoints, now) {
		if loading >= atOnce(len(endpoints)) {
			return
		}
		loading++
		m.order(ctx, j)
	}
}

func (m *Manager) trackOf(e *fleet.Endpoint) *track {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tracks[e.ID]
	if t == nil || t.born != e.Born {
		t = &track{born: e.Born, accepted: -1}
		m.tracks[e.ID] = t
	}
	return t
}

// settle ends a load that is known to be complete, and asks about one that
// should be.
func (m *Manager) settle(ctx context.Context, e *fleet.Endpoint, t *track, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.loading == nil || t.calling {
		return
	}
	if e.Version(t.loading.Model) >= t.loading.Version {
		m.finish(ctx, e, t, now)
		return
	}
	e.Live.Loading(now.Add(loadTime))
	if now.Before(t.next) {
		return
	}
	t.calling = true
	go m.ask(ctx, e, t)
}

// finish notes that a load is complete; m.mu is held.
func (m *Manager) finish(ctx context.Context, e *fleet.Endpoint, t *track, now time.Time) {
	event.WeightsLoaded.Log(ctx, m.options.Logger, slog.String("endpoint", e.ID), slog.String("model", t.loading.Model),
		slog.Int64("version", t.loading.Version), slog.Int64("took_ms", now.Sub(t.since).Milliseconds()))
	t.loading = nil
	e.Live.Loading(time.Time{})
	m.options.Changed()
	m.Poke()
}

// due returns the orders to give, the endpoints with the least work first.
func (m *Manager) due(endpoints []*fleet.Endpoint, now time.Time) []job {
	m.mu.Lock()
	defer m.mu.Unlock()
	var jobs []job
	models := slices.Sorted(slices.Values(m.options.Models()))
	for model, homes := range m.homes.assign(endpoints, models) {
		target := m.options.Targets.Of(model)
		for _, e := range homes {
			t := m.tracks[e.ID]
			if t == nil || t.loading != nil || t.calling || t.fenced || now.Before(t.next) || e.Version(model) >= target {
				continue
			}
			jobs = append(jobs, job{endpoint: e, model: model, version: target})
		}
	}
	slices.SortFunc(jobs, func(a, b job) int {
		return cmp.Or(
			cmp.Compare(boolInt(a.endpoint.Live.Avoided(now)), boolInt(b.endpoint.Live.Avoided(now))),
			cmp.Compare(a.endpoint.Live.InFlight(), b.endpoint.Live.InFlight()),
			cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	return jobs
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// order gives one order in a goroutine of its own.
func (m *Manager) order(ctx context.Context, j job) {
	m.mu.Lock()
	t := m.tracks[j.endpoint.ID]
	t.calling = true
	accepted := t.accepted
	m.mu.Unlock()
	go func() {
		if accepted < 0 && !m.learn(ctx, j.endpoint, t) {
			return
		}
		m.mu.Lock()
		order := Order{
			Model: j.model, Version: j.version, Mode: m.options.Mode(j.model),
			Holder: m.options.Holder, Epoch: m.options.Epoch, Accepted: t.accepted,
		}
		m.mu.Unlock()
		j.endpoint.Live.Loading(time.Now().Add(loadTime))
		event.OrderSent.Log(ctx, m.options.Logger, slog.String("endpoint", j.endpoint.ID), slog.String("model", j.model),
			slog.Int64("version", j.version), slog.Int64("epoch", order.Epoch), slog.Int64("accepted", order.Accepted))
		verdict, err := m.options.Engines.Order(ctx, j.endpoint, order)
		m.answered(ctx, j.endpoint, t, order, verdict, err)
	}()
}

// learn asks an endpoint for its count of orders before the first one.
func (m *Manager) learn(ctx context.Context, e *fleet.Endpoint, t *track) bool {
	report, err := m.options.Engines.Report(ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		t.calling = false
		t.next = time.Now().Add(refusedPause)
		event.OrderFailed.Log(ctx, m.options.Logger, slog.String("endpoint", e.ID), slog.String("cause", err.Error()))
		return false
	}
	t.accepted = report.Accepted
	return true
}

// answered takes the answer to an order.
func (m *Manager) answered(ctx context.Context, e *fleet.Endpoint, t *track, order Order, verdict Verdict, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	t.calling = false
	switch verdict {
	case Accepted:
		t.accepted++
		t.loading, t.since, t.next = &order, now, now.Add(loadTime)
		return
	case AlreadyLoaded:
		e.Live.SawVersion(order.Model, order.Version)
		t.loading, t.since = &order, now
		m.finish(ctx, e, t, now)
		return
	case Fenced:
		t.fenced = true
	case Busy:
		t.accepted = -1
	case Unknown:
		// It may have been accepted, or may be later: the count tells.
		t.accepted = -1
	}
	e.Live.Loading(time.Time{})
	t.next = now.Add(refusedPause)
	cause := "refused"
	if err != nil {
		cause = err.Error()
	}
	event.OrderFailed.Log(ctx, m.options.Logger, slog.String("endpoint", e.ID), slog.String("model", order.Model),
		slog.Int64("version", order.Version), slog.Int("verdict", int(verdict)), slog.String("cause", cause))
}

// ask reads an endpoint's state while it loads.
func (m *Manager) ask(ctx context.Context, e *fleet.Endpoint, t *track) {
	report, err := m.options.Engines.Report(ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	t.calling = false
	t.next = now.Add(reportEvery)
	if err != nil {
		t.next = now.Add(refusedPause)
		return
	}
	for model, version := range report.Versions {
		e.Live.SawVersion(model, version)
	}
	t.accepted = report.Accepted
	switch {
	case report.Versions[t.loading.Model] >= t.loading.Version:
		m.finish(ctx, e, t, now)
	case !report.Busy:
		// The order was not carried out after all.
		t.loading = nil
		e.Live.Loading(time.Time{})
	}
}
