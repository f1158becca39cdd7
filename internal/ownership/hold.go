package ownership

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// holdAttempts bounds the tries of one Acquire when leases lapse or replies are
// lost under it.
const holdAttempts = 3

// Acquire returns the tenure of a unit, taking the unit if it is free.
func (m *Manager) Acquire(ctx context.Context, unit string) (Tenure, error) {
	if tenure, ok := m.current(unit); ok {
		return tenure, nil
	}
	unlock, err := m.units.lock(ctx, unit)
	if err != nil {
		return Tenure{}, err
	}
	defer unlock()
	if err := m.settle(ctx, unit); err != nil {
		return Tenure{}, err
	}
	for range holdAttempts {
		var tenure Tenure
		tenure, err = m.acquire(ctx, unit)
		if err == nil || errorx.IsOfType(err, ErrHeldElsewhere) {
			return tenure, err
		}
		if !errorx.IsOfType(errorx.Cast(err).Cause(), keyvalue.ErrLeaseLapsed) && !m.isUncertain(unit) {
			return Tenure{}, err
		}
	}
	return Tenure{}, err
}

func (m *Manager) current(unit string) (Tenure, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, ok := m.held[unit]
	return h.tenure, ok && m.believes()
}

// acquire creates the unit's key under the lease, or adopts the one that an
// earlier call created there. The unit is locked.
func (m *Manager) acquire(ctx context.Context, unit string) (Tenure, error) {
	if err := m.probe(ctx, unit); err != nil {
		return Tenure{}, err
	}
	lease, err := m.renewed(ctx, false)
	if err != nil {
		return Tenure{}, err
	}
	if tenure, ok := m.current(unit); ok {
		return tenure, nil
	}
	value, err := m.create(ctx, unit, lease)
	if errorx.IsOfType(err, keyvalue.ErrOutcomeUnknown) {
		m.markUncertain(unit)
		value, err = m.readBack(ctx, unit)
	}
	switch {
	case err == nil || errorx.IsOfType(err, keyvalue.ErrConflict):
		return m.judge(ctx, unit, value, lease)
	case errorx.IsOfType(err, keyvalue.ErrLeaseLapsed):
		m.forget(ctx, lease)
	}
	return Tenure{}, ErrUnavailable.Wrap(err, "unit %q not confirmed", unit)
}

// probe spares an entry without a lease the granting of one, and its end, when
// another entry holds the unit.
func (m *Manager) probe(ctx context.Context, unit string) error {
	if id, _ := m.standing(); id != 0 {
		return nil
	}
	value, err := m.readBack(ctx, unit)
	switch {
	case err == nil:
		return HeldElsewhere(unit, string(value.Data))
	case errorx.IsOfType(err, keyvalue.ErrNotFound):
		return nil
	}
	return ErrUnavailable.Wrap(err, "unit %q not confirmed", unit)
}

func (m *Manager) create(ctx context.Context, unit string, lease keyvalue.LeaseID) (keyvalue.Value, error) {
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	return m.store.CompareAndSwap(ctx, keyPrefix+unit, 0, []byte(m.self), lease)
}

func (m *Manager) readBack(ctx context.Context, unit string) (keyvalue.Value, error) {
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	return m.store.Get(ctx, keyPrefix+unit)
}

// judge turns what stands in the unit's key into a tenure or a refusal.
func (m *Manager) judge(ctx context.Context, unit string, value keyvalue.Value, lease keyvalue.LeaseID) (Tenure, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if value.Lease != lease {
		delete(m.uncertain, unit)
		return Tenure{}, HeldElsewhere(unit, string(value.Data))
	}
	if m.lease.id != lease || !m.believes() {
		return Tenure{}, ErrUnavailable.Wrap(keyvalue.ErrLeaseLapsed.New("lease %d", lease), "unit %q not confirmed", unit)
	}
	delete(m.uncertain, unit)
	tenure := Tenure{Unit: unit, Epoch: value.CreateRevision}
	m.held[unit] = holding{tenure: tenure}
	event.TenureTaken.Log(ctx, m.logger, slog.String("unit", unit), slog.Int64("epoch", tenure.Epoch))
	return tenure, nil
}
