package ownership

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// acquireAttempts is the maximum number of attempts of one Acquire when the lease
// expires or a response is lost during the call.
const acquireAttempts = 3

// Acquire returns the tenure of a unit and acquires the unit first if it is free.
func (m *Manager) Acquire(ctx context.Context, unit string) (Tenure, error) {
	if tenure, ok := m.validTenure(unit); ok {
		return tenure, nil
	}
	unlock, err := m.units.lock(ctx, unit)
	if err != nil {
		return Tenure{}, err
	}
	defer unlock()
	if err := m.resolveUncertain(ctx, unit); err != nil {
		return Tenure{}, err
	}
	for range acquireAttempts {
		var tenure Tenure
		tenure, err = m.tryAcquire(ctx, unit)
		if err == nil || errorx.IsOfType(err, ErrHeldElsewhere) {
			return tenure, err
		}
		if !errorx.IsOfType(errorx.Cast(err).Cause(), keyvalue.ErrLeaseLapsed) && !m.isUncertain(unit) {
			return Tenure{}, err
		}
	}
	return Tenure{}, err
}

func (m *Manager) validTenure(unit string) (Tenure, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.held[unit]
	return h.tenure, ok && m.leaseValid()
}

// tryAcquire creates the unit's key under the lease, or adopts the key that an
// earlier call created under the same lease. The caller must hold the unit's lock.
func (m *Manager) tryAcquire(ctx context.Context, unit string) (Tenure, error) {
	if err := m.checkHolder(ctx, unit); err != nil {
		return Tenure{}, err
	}
	lease, err := m.ensureLease(ctx, false)
	if err != nil {
		return Tenure{}, err
	}
	if tenure, ok := m.validTenure(unit); ok {
		return tenure, nil
	}
	value, err := m.create(ctx, unit, lease)
	if errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown) {
		m.markUncertain(unit)
		value, err = m.readKey(ctx, unit)
	}
	switch {
	case err == nil || errorx.IsOfType(err, keyvalue.ErrConflict):
		return m.confirm(ctx, unit, value, lease)
	case errorx.IsOfType(err, keyvalue.ErrLeaseLapsed):
		m.dropLease(ctx, lease)
	}
	return Tenure{}, ErrUnavailable.Wrap(err, "ownership of unit %q not confirmed", unit)
}

// checkHolder fails with ErrHeldElsewhere if the entry has no lease and another entry
// holds the unit. Without this check, the entry would grant a lease and revoke it unused.
func (m *Manager) checkHolder(ctx context.Context, unit string) error {
	if id, _ := m.currentLease(); id != 0 {
		return nil
	}
	value, err := m.readKey(ctx, unit)
	switch {
	case err == nil:
		return HeldElsewhere(unit, string(value.Data))
	case errorx.IsOfType(err, keyvalue.ErrNotFound):
		return nil
	}
	return ErrUnavailable.Wrap(err, "ownership of unit %q not confirmed", unit)
}

func (m *Manager) create(ctx context.Context, unit string, lease keyvalue.LeaseID) (keyvalue.Value, error) {
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	return m.store.CompareAndSwap(ctx, keyPrefix+unit, 0, []byte(m.self), lease)
}

func (m *Manager) readKey(ctx context.Context, unit string) (keyvalue.Value, error) {
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	return m.store.Get(ctx, keyPrefix+unit)
}

// confirm turns the current value of the unit's key into a tenure or an error.
func (m *Manager) confirm(ctx context.Context, unit string, value keyvalue.Value, lease keyvalue.LeaseID) (Tenure, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if value.Lease != lease {
		delete(m.uncertain, unit)
		return Tenure{}, HeldElsewhere(unit, string(value.Data))
	}
	if m.lease.id != lease || !m.leaseValid() {
		return Tenure{}, ErrUnavailable.Wrap(keyvalue.ErrLeaseLapsed.New("lease %d", lease), "ownership of unit %q not confirmed", unit)
	}
	delete(m.uncertain, unit)
	tenure := Tenure{Unit: unit, Epoch: value.CreateRevision}
	m.held[unit] = holding{tenure: tenure}
	event.TenureAcquired.Log(ctx, m.logger, slog.String("unit", unit), slog.Int64("epoch", tenure.Epoch))
	return tenure, nil
}
