package ownership

import (
	"context"
	"log/slog"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Release gives a unit up. Its tenure is invalid from the start of the call;
// after an error the key is deleted as soon as the service can be reached.
func (m *Manager) Release(ctx context.Context, unit string) error {
	unlock, err := m.units.lock(ctx, unit)
	if err != nil {
		return err
	}
	defer unlock()
	if !m.drop(unit) {
		return nil
	}
	event.TenureReleased.Log(ctx, m.logger, slog.String("unit", unit))
	return m.settle(ctx, unit)
}

// drop ends the tenure of a unit here and marks its key for deletion.
func (m *Manager) drop(unit string) bool {
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

// settle makes sure that no key of an uncertain unit stands under the lease.
// The unit is locked.
func (m *Manager) settle(ctx context.Context, unit string) error {
	if !m.isUncertain(unit) {
		return nil
	}
	if err := m.deleteKey(ctx, unit); err != nil {
		return ErrUnavailable.Wrap(err, "unit %q not given up", unit)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.uncertain, unit)
	return nil
}

func (m *Manager) deleteKey(ctx context.Context, unit string) error {
	value, err := m.readBack(ctx, unit)
	if errorx.IsOfType(err, keyvalue.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if id, _ := m.standing(); value.Lease != id {
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

// settleUncertain settles all uncertain units; failures stay for the next time.
func (m *Manager) settleUncertain(ctx context.Context) {
	for _, unit := range m.uncertainUnits() {
		unlock, err := m.units.lock(ctx, unit)
		if err != nil {
			return
		}
		_ = m.settle(ctx, unit)
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
