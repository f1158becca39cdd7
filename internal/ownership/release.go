package ownership

import (
	"context"
	"log/slog"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Release releases a unit. Its tenure is invalid from the start of the call. After an
// error, the key is deleted as soon as the service is reachable.
func (m *Manager) Release(ctx context.Context, unit string) error {
	unlock, err := m.units.lock(ctx, unit)
	if err != nil {
		return err
	}
	defer unlock()
	if !m.invalidate(unit) {
		return nil
	}
	event.TenureReleased.Log(ctx, m.logger, slog.String("unit", unit))
	return m.resolveUncertain(ctx, unit)
}

// invalidate ends the tenure of a unit locally and marks its key for deletion. It
// reports whether the entry held the unit.
func (m *Manager) invalidate(unit string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.held[unit]; !ok {
		return false
	}
	delete(m.held, unit)
	m.uncertain[unit] = struct{}{}
	return true
}

func (m *Manager) markUncertain(unit string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.uncertain[unit] = struct{}{}
}

func (m *Manager) isUncertain(unit string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.uncertain[unit]
	return ok
}

// resolveUncertain ensures that an uncertain unit has no key under the lease. The
// caller must hold the unit's lock.
func (m *Manager) resolveUncertain(ctx context.Context, unit string) error {
	if !m.isUncertain(unit) {
		return nil
	}
	if err := m.deleteKey(ctx, unit); err != nil {
		return ErrUnavailable.Wrap(err, "delete the key of unit %q", unit)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.uncertain, unit)
	return nil
}

func (m *Manager) deleteKey(ctx context.Context, unit string) error {
	value, err := m.readKey(ctx, unit)
	if errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if id, _ := m.currentLease(); value.Lease != id {
		return nil
	}
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	err = m.store.Delete(ctx, keyPrefix+unit, value.Revision)
	if errorx.IsOfType(err, keyvalue.ErrNotFound) || errorx.IsOfType(err, keyvalue.ErrConflict) {
		return nil
	}
	return err
}

// resolveAllUncertain resolves all uncertain units. Units that fail are retried on the
// next tick.
func (m *Manager) resolveAllUncertain(ctx context.Context) {
	for _, unit := range m.uncertainUnits() {
		unlock, err := m.units.lock(ctx, unit)
		if err != nil {
			return
		}
		_ = m.resolveUncertain(ctx, unit)
		unlock()
	}
}

func (m *Manager) uncertainUnits() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	units := make([]string, 0, len(m.uncertain))
	for unit := range m.uncertain {
		units = append(units, unit)
	}
	slices.Sort(units)
	return units
}
