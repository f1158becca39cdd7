package ownership

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// keyPrefix starts the keys of units in the platform's service.
const keyPrefix = "owner/"

// Manager confirms ownership for one entry. All units of the entry hang on one
// lease, which exists only while the entry holds a unit. It is safe for
// concurrent use.
type Manager struct {
	store   keyvalue.Store
	self    string
	options Options
	logger  *slog.Logger
	units   unitLocks
	// calling serialises the granting and renewing of the lease.
	calling chan struct{}

	mu    sync.RWMutex
	lease leaseBound
	held  map[string]holding
	// uncertain are units whose key may stand under the lease although the
	// entry does not hold them: the outcome of a call was not learnt.
	uncertain map[string]struct{}
}

// leaseBound is a lease and the instant up to which the entry believes in it.
type leaseBound struct {
	id    keyvalue.LeaseID
	until time.Time
}

// holding is a tenure and the write that confirmed it.
type holding struct {
	tenure Tenure
}

var _ Owner = (*Manager)(nil)

// New returns a Manager for the entry self. Run must run for it to keep what
// it holds.
func New(store keyvalue.Store, self string, options Options, logger *slog.Logger) *Manager {
	return &Manager{
		store:     store,
		self:      self,
		options:   options.withDefaults(),
		logger:    logger,
		calling:   make(chan struct{}, 1),
		held:      map[string]holding{},
		uncertain: map[string]struct{}{},
	}
}

// Run renews the lease until ctx ends. It gives nothing up at the end: that is
// ReleaseAll's.
func (m *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(m.options.renewEvery())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(m.tick(ctx))
	}
}

// tick renews the lease or ends an idle one, and returns the time to the next.
func (m *Manager) tick(ctx context.Context) time.Duration {
	m.settleUncertain(ctx)
	if m.idle() {
		m.endLease(ctx)
		return m.options.renewEvery()
	}
	if _, err := m.renewed(ctx, true); err != nil {
		return m.options.renewEvery() / retriesPerRenewal
	}
	return m.options.renewEvery()
}

func (m *Manager) idle() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.held) == 0 && len(m.uncertain) == 0
}

// Valid reports whether the tenure surely still holds.
func (m *Manager) Valid(tenure Tenure) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.held[tenure.Unit]
	return ok && h.tenure == tenure && m.believes()
}

// believes reports whether the lease is within its bound; m.mu is held.
func (m *Manager) believes() bool {
	return m.lease.id != 0 && m.options.Now().Before(m.lease.until)
}

// Held returns the tenures that surely hold now, in order of unit.
func (m *Manager) Held() []Tenure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.believes() {
		return nil
	}
	tenures := make([]Tenure, 0, len(m.held))
	for _, h := range m.held {
		tenures = append(tenures, h.tenure)
	}
	slices.SortFunc(tenures, func(a, b Tenure) int { return cmp.Compare(a.Unit, b.Unit) })
	return tenures
}

// ReleaseAll gives all units up by ending the lease. An error means that they
// come free only when the lease lapses.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	m.mu.Lock()
	clear(m.held)
	clear(m.uncertain)
	m.mu.Unlock()
	return m.endLease(ctx)
}

// forget drops the lease and all tenures under it.
func (m *Manager) forget(ctx context.Context, id keyvalue.LeaseID) {
	m.mu.Lock()
	if m.lease.id != id {
		m.mu.Unlock()
		return
	}
	lost := len(m.held)
	m.lease = leaseBound{}
	clear(m.held)
	clear(m.uncertain)
	m.mu.Unlock()
	if lost > 0 {
		event.TenuresLost.Log(ctx, m.logger, slog.Int("units", lost))
	}
}
