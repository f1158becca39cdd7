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

// Options configures a Manager.
type Options struct {
	Service   string
	Directory *fleet.Directory
	Engines   Engines
	Targets   *Targets
	// Models returns the models that the service serves.
	Models func() []string
	// MinVersion returns the highest minimum version of the open submissions for a model, and
	// false if there is none.
	MinVersion func(model string) (int64, bool)
	// Demand returns how much the steps of a model ask for, in tokens; zero means that none
	// was seen.
	Demand func(model string) float64
	// Mode returns what happens to a model's runs while an endpoint loads weights.
	Mode func(model string) Mode
	// Confirmed reports whether the ownership of the unit is confirmed; orders are sent
	// only then.
	Confirmed func() bool
	// Changed is called when an endpoint has loaded another version.
	Changed func()
	Holder  string
	Epoch   int64
	Logger  *slog.Logger
}

// Manager sends load orders to the endpoints of one service while this node owns its
// unit. Orders are planned in the goroutine of Run; calls to endpoints run in goroutines
// of their own and share the state that mu guards.
type Manager struct {
	options     Options
	assignments assignments
	wake        chan struct{}

	mu     sync.Mutex
	states map[string]*orderState
	models map[string]*modelState
}

// modelState is what the manager has observed of a model's trainer.
type modelState struct {
	target  int64
	namedAt time.Time
	// minVersion is the minimum version of the newest step, and lags are by how much the last
	// two steps allowed versions behind the target.
	minVersion int64
	lags       [2]int64
	steps      int
}

// maxLag bounds the lag that loads are planned with: at least every second version is
// loaded, so that samples stay fresh.
const maxLag = 1

// lag returns by how many versions the model's steps may be behind the target: the larger
// of the last two, since the target may be known later than the step. maxLag is assumed
// until a step is seen.
func (s *modelState) lag() int64 {
	switch s.steps {
	case 0:
		return maxLag
	case 1:
		return s.lags[0]
	}
	return max(s.lags[0], s.lags[1])
}

// observe updates the state with the present target and the minimum version of the newest
// step.
func (s *modelState) observe(target, minVersion int64, open bool, now time.Time) {
	if target != s.target {
		s.target, s.namedAt = target, now
	}
	if !open || minVersion <= s.minVersion {
		return
	}
	s.minVersion = minVersion
	s.lags[s.steps%2] = min(max(target-minVersion, 0), maxLag)
	s.steps++
}

// orderState is the state of the orders to one endpoint.
type orderState struct {
	born int64
	// accepted is the number of orders that the endpoint has accepted; negative means
	// unknown.
	accepted int64
	// callInFlight means that an order or a report request is in flight.
	callInFlight bool
	// loading is the order that the endpoint is assumed to be carrying out.
	loading *Order
	// acceptedAt is when that order was accepted, and nextCall is the earliest time for the
	// next call to the endpoint.
	acceptedAt, nextCall time.Time
	fenced               bool
}

// NewManager returns a manager; the caller must call Run.
func NewManager(options Options) *Manager {
	return &Manager{options: options, wake: make(chan struct{}, 1), states: map[string]*orderState{}, models: map[string]*modelState{}}
}

// reconcileInterval is the time between reconciliations that nothing else triggers.
const reconcileInterval = 100 * time.Millisecond

// Run reconciles versions with their targets until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
		m.reconcile(ctx, time.Now())
	}
}

// Wake triggers a reconciliation without waiting for the next tick.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// reconcile checks the endpoints that load and sends orders up to the limit of parallel
// loads.
func (m *Manager) reconcile(ctx context.Context, now time.Time) {
	endpoints := m.options.Directory.Of(m.options.Service)
	if len(endpoints) == 0 || !m.options.Confirmed() {
		return
	}
	loading := 0
	for _, e := range endpoints {
		if m.checkLoad(ctx, e, m.stateOf(e), now) {
			loading++
		}
	}
	ordered := map[string]bool{}
	for _, l := range m.due(endpoints, now) {
		if loading >= maxParallelLoads(len(endpoints)) {
			return
		}
		if ordered[l.endpoint.ID] {
			continue // one order at a time
		}
		ordered[l.endpoint.ID] = true
		loading++
		m.sendOrder(ctx, l)
	}
}

func (m *Manager) stateOf(e *fleet.Endpoint) *orderState {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.states[e.ID]
	if t == nil || t.born != e.Born {
		t = &orderState{born: e.Born, accepted: -1}
		m.states[e.ID] = t
	}
	return t
}

// checkLoad completes a load whose version the endpoint has reported, and requests a
// report when the load should be complete. It reports whether the endpoint still loads or
// a call to it is in flight.
func (m *Manager) checkLoad(ctx context.Context, e *fleet.Endpoint, t *orderState, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.loading == nil || t.callInFlight {
		return t.callInFlight
	}
	if e.Version(t.loading.Model) >= t.loading.Version {
		m.loadFinished(ctx, e, t, now)
		return false
	}
	e.Live.MarkLoading(t.loading.Model, now.Add(assumedLoadTime))
	if !now.Before(t.nextCall) {
		t.callInFlight = true
		go m.pollReport(ctx, e, t)
	}
	return true
}

// loadFinished records that a load is complete. The caller holds m.mu.
func (m *Manager) loadFinished(ctx context.Context, e *fleet.Endpoint, t *orderState, now time.Time) {
	event.WeightsLoaded.Log(ctx, m.options.Logger, slog.String("endpoint", e.ID), slog.String("model", t.loading.Model),
		slog.Int64("version", t.loading.Version), slog.Int64("took_ms", now.Sub(t.acceptedAt).Milliseconds()))
	t.loading = nil
	e.Live.LoadingEnded()
	m.options.Changed()
	m.Wake()
}

// due returns the loads to order, the most urgent first.
func (m *Manager) due(endpoints []*fleet.Endpoint, now time.Time) []load {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.Sorted(slices.Values(m.options.Models()))
	named := false
	demand := make(map[string]float64, len(names))
	for _, name := range names {
		demand[name] = m.options.Demand(name)
		named = m.observeModel(name, now).target > 0 || named
	}
	if !named {
		return nil // endpoints are assigned once their paces are known
	}
	var loads []load
	for name, assigned := range m.assignments.assign(endpoints, names, demand, now) {
		state := m.models[name]
		model := Model{Target: state.target, NamedAt: state.namedAt, Lag: state.lag(), Finish: m.options.Mode(name) == Finish}
		loads = append(loads, dueLoads(name, model, assigned, now)...)
	}
	loads = slices.DeleteFunc(loads, func(l load) bool { return !m.idle(l.endpoint, now) })
	slices.SortFunc(loads, func(a, b load) int {
		return cmp.Or(cmp.Compare(boolInt(a.endpoint.Live.Avoided(now)), boolInt(b.endpoint.Live.Avoided(now))), compareLoads(a, b))
	})
	return loads
}

// observeModel returns the updated state of a model. The caller holds m.mu.
func (m *Manager) observeModel(name string, now time.Time) *modelState {
	state := m.models[name]
	if state == nil {
		state = &modelState{}
		m.models[name] = state
	}
	minVersion, open := m.options.MinVersion(name)
	state.observe(m.options.Targets.Of(name), minVersion, open, now)
	return state
}

// idle reports whether an endpoint may be sent an order now. The caller holds m.mu.
func (m *Manager) idle(e *fleet.Endpoint, now time.Time) bool {
	t := m.states[e.ID]
	return t != nil && t.loading == nil && !t.callInFlight && !t.fenced && !now.Before(t.nextCall)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sendOrder sends one order in a separate goroutine.
func (m *Manager) sendOrder(ctx context.Context, l load) {
	m.mu.Lock()
	t := m.states[l.endpoint.ID]
	t.callInFlight = true
	accepted := t.accepted
	m.mu.Unlock()
	go func() {
		if accepted < 0 && !m.readAcceptedCount(ctx, l, t) {
			return
		}
		m.mu.Lock()
		order := Order{
			Model: l.model, Version: l.version, Mode: m.options.Mode(l.model),
			Holder: m.options.Holder, Epoch: m.options.Epoch, Accepted: t.accepted,
		}
		m.mu.Unlock()
		l.endpoint.Live.MarkLoading(l.model, time.Now().Add(assumedLoadTime))
		event.OrderSent.Log(ctx, m.options.Logger, slog.String("endpoint", l.endpoint.ID), slog.String("model", l.model),
			slog.Int64("version", l.version), slog.Int64("epoch", order.Epoch), slog.Int64("accepted", order.Accepted))
		verdict, err := m.options.Engines.Order(ctx, l.endpoint, order)
		m.handleVerdict(ctx, l.endpoint, t, order, verdict, err)
	}()
}

// readAcceptedCount requests the endpoint's count of accepted orders, which an order
// must state. It returns false if no order can be sent now: the report failed, or the
// endpoint carries out an order, of a previous owner or one whose answer was lost.
func (m *Manager) readAcceptedCount(ctx context.Context, l load, t *orderState) bool {
	e := l.endpoint
	report, err := m.options.Engines.Report(ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if err != nil {
		t.callInFlight = false
		t.nextCall = now.Add(refusedPause)
		event.OrderFailed.Log(ctx, m.options.Logger, slog.String("endpoint", e.ID), slog.String("cause", err.Error()))
		return false
	}
	for model, version := range report.Versions {
		e.Live.ObserveVersion(model, version)
	}
	if report.Busy {
		t.callInFlight = false
		t.nextCall = now.Add(reportInterval)
		e.Live.MarkLoading(l.model, now.Add(busyLoadTime))
		return false
	}
	t.accepted = report.Accepted
	return true
}

// handleVerdict handles the outcome of an order.
func (m *Manager) handleVerdict(ctx context.Context, e *fleet.Endpoint, t *orderState, order Order, verdict Verdict, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	t.callInFlight = false
	switch verdict {
	case Accepted:
		t.accepted++
		t.loading, t.acceptedAt, t.nextCall = &order, now, now.Add(assumedLoadTime)
		return
	case AlreadyLoaded:
		e.Live.ObserveVersion(order.Model, order.Version)
		t.loading, t.acceptedAt = &order, now
		m.loadFinished(ctx, e, t, now)
		return
	case Fenced:
		t.fenced = true
		e.Live.LoadingEnded()
	case Busy:
		// Another order may be in progress, so the endpoint may be loading: the next report
		// shows it.
		t.accepted = -1
		e.Live.MarkLoading(order.Model, now.Add(busyLoadTime))
	case Unknown:
		// The order may have been accepted, or may still be: the count in the next report shows it.
		t.accepted = -1
		e.Live.LoadingEnded()
	}
	t.nextCall = now.Add(refusedPause)
	cause := "refused"
	if err != nil {
		cause = err.Error()
	}
	event.OrderFailed.Log(ctx, m.options.Logger, slog.String("endpoint", e.ID), slog.String("model", order.Model),
		slog.Int64("version", order.Version), slog.Int("verdict", int(verdict)), slog.String("cause", cause))
}

// pollReport requests a report from an endpoint that loads.
func (m *Manager) pollReport(ctx context.Context, e *fleet.Endpoint, t *orderState) {
	report, err := m.options.Engines.Report(ctx, e)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	t.callInFlight = false
	t.nextCall = now.Add(reportInterval)
	if err != nil {
		t.nextCall = now.Add(refusedPause)
		return
	}
	for model, version := range report.Versions {
		e.Live.ObserveVersion(model, version)
	}
	t.accepted = report.Accepted
	switch {
	case report.Versions[t.loading.Model] >= t.loading.Version:
		m.loadFinished(ctx, e, t, now)
	case !report.Busy:
		// The endpoint is idle without the version: it did not carry out the order.
		t.loading = nil
		e.Live.LoadingEnded()
	}
}
