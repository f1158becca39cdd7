package ownership

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// TakeOver takes a unit from a holder that is believed to be dead, before the
// holder's lease lapses. If the holder lives after all, its lease goes on and it
// believes in its tenure until it releases the unit, so TakeOver is only for units
// whose every write the platform's service refuses to a stale owner. Errors are
// those of Acquire.
func (m *Manager) TakeOver(ctx context.Context, unit, holder string) (Tenure, error) {
	if err := m.remove(ctx, unit, holder); err != nil {
		return Tenure{}, err
	}
	return m.Acquire(ctx, unit)
}

// remove deletes the unit's key if the holder's name stands in it.
func (m *Manager) remove(ctx context.Context, unit, holder string) error {
	value, err := m.readBack(ctx, unit)
	switch {
	case errorx.IsOfType(err, keyvalue.ErrNotFound):
		return nil
	case err != nil:
		return ErrUnavailable.Wrap(err, "unit %q not read", unit)
	case string(value.Data) != holder || holder == m.self:
		return HeldElsewhere(unit, string(value.Data))
	}
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	err = m.store.Delete(ctx, keyPrefix+unit, value.Revision)
	if err != nil && !errorx.IsOfType(err, keyvalue.ErrNotFound) && !errorx.IsOfType(err, keyvalue.ErrConflict) {
		return ErrUnavailable.Wrap(err, "unit %q not deposed", unit)
	}
	event.HolderDeposed.Log(ctx, m.logger, slog.String("unit", unit), slog.String("holder", holder))
	return nil
}
