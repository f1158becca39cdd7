package ownership

import (
	"context"
	"log/slog"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// TakeOver acquires a unit from a holder that is believed to be dead, before the
// holder's lease expires. If the holder is alive after all, its lease continues and
// it treats its tenure as valid until it releases the unit. TakeOver is therefore
// only for units whose every write is fenced: the platform's service must reject the
// writes of a stale owner. TakeOver returns the same errors as Acquire.
func (m *Manager) TakeOver(ctx context.Context, unit, holder string) (Tenure, error) {
	if err := m.deleteHolderKey(ctx, unit, holder); err != nil {
		return Tenure{}, err
	}
	return m.Acquire(ctx, unit)
}

// deleteHolderKey deletes the unit's key if the key names the given holder.
func (m *Manager) deleteHolderKey(ctx context.Context, unit, holder string) error {
	value, err := m.readKey(ctx, unit)
	switch {
	case errorx.IsOfType(err, keyvalue.ErrNotFound):
		return nil
	case err != nil:
		return ErrUnavailable.Wrap(err, "read the owner of unit %q", unit)
	case string(value.Data) != holder || holder == m.self:
		return HeldElsewhere(unit, string(value.Data))
	}
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	err = m.store.Delete(ctx, keyPrefix+unit, value.Revision)
	if err != nil && !errorx.IsOfType(err, keyvalue.ErrNotFound) && !errorx.IsOfType(err, keyvalue.ErrConflict) {
		return ErrUnavailable.Wrap(err, "delete the previous owner's key of unit %q", unit)
	}
	event.OwnerDeposed.Log(ctx, m.logger, slog.String("unit", unit), slog.String("holder", holder))
	return nil
}
