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

// keyPrefix is the prefix of the units' keys in the platform's key-value service.
const keyPrefix = "owner/"

// Manager is the Owner of one entry. The keys of all its units are attached to one
// lease, which exists only while the entry holds a unit. Manager is safe for
// concurrent use.
type Manager struct {
	store   keyvalue.Store
	self    string
	options Options
	logger  *slog.Logger
	units   unitLocks
	// leaseCalls serialises the calls that grant and renew the lease.
	leaseCalls chan struct{}

	mu    sync.RWMutex
	lease leaseBound
	held  map[string]holding
	// uncertain contains the units whose key may exist under the lease although the
	// entry does not hold them, because the outcome of a call is unknown.
	uncertain map[string]struct{}
}

// leaseBound is a lease and the time until which the entry treats it as valid.
type leaseBound struct {
	id         keyvalue.LeaseID
	validUntil time.Time
}

// holding is the tenure of a unit that the entry holds.
type holding struct {
	tenure Tenure
}

var _ Owner = (*Manager)(nil)

// New returns a Manager for the entry self. The Manager keeps its units beyond the
// first lease period only while Run is running.
func New(store keyvalue.Store, self string, options Options, logger *slog.Logger) *Manager {
	return &Manager{
		store:      store,
		self:       self,
		options:    options.withDefaults(),
		logger:     logger,
		leaseCalls: make(chan struct{}, 1),
		held:       map[string]holding{},
		uncertain:  map[string]struct{}{},
	}
}

// Run renews the lease until ctx ends. It releases no units when it returns; call
// ReleaseAll for that.
func (m *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(m.options.renewInterval())
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

// tick renews the lease, or revokes it if no unit needs it, and returns the time
// until the next tick.
func (m *Manager) tick(ctx context.Context) time.Duration {
	m.resolveAllUncertain(ctx)
	if m.idle() {
		m.endLease(ctx)
		return m.options.renewInterval()
	}
	if _, err := m.ensureLease(ctx, true); err != nil {
		return m.options.renewInterval() / retriesPerRenewal
	}
	return m.options.renewInterval()
}

func (m *Manager) idle() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.held) == 0 && len(m.uncertain) == 0
}

// Valid reports whether the tenure is certainly still in force.
func (m *Manager) Valid(tenure Tenure) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.held[tenure.Unit]
	return ok && h.tenure == tenure && m.leaseValid()
}

// leaseValid reports whether the lease has not passed its validity bound. The caller
// must hold m.mu.
func (m *Manager) leaseValid() bool {
	return m.lease.id != 0 && m.options.Now().Before(m.lease.validUntil)
}

// Held returns the tenures that are certainly in force, ordered by unit.
func (m *Manager) Held() []Tenure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.leaseValid() {
		return nil
	}
	tenures := make([]Tenure, 0, len(m.held))
	for _, h := range m.held {
		tenures = append(tenures, h.tenure)
	}
	slices.SortFunc(tenures, func(a, b Tenure) int { return cmp.Compare(a.Unit, b.Unit) })
	return tenures
}

// ReleaseAll releases all units by revoking the lease. After an error they become
// free only when the lease expires.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	m.mu.Lock()
	clear(m.held)
	clear(m.uncertain)
	m.mu.Unlock()
	return m.endLease(ctx)
}

// dropLease discards the lease and all tenures under it, without a call to the store.
func (m *Manager) dropLease(ctx context.Context, id keyvalue.LeaseID) {
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
