package cluster

import "context"

// ConfirmUnit asks the metadata store whether the unit still has the given epoch. Unlike
// Confirmed it does not rely on the lease: another node may take a unit over before the
// lease of its owner ends.
func (c *Cluster) ConfirmUnit(ctx context.Context, unit Unit) error {
	condition := unit.Condition()
	item, err := c.options.Store.Get(ctx, condition.Key)
	if err != nil {
		return ErrNotConfirmed.Wrap(err, "the record of unit %s could not be read", unit.Name)
	}
	if item.Revision != condition.Revision {
		return ErrNotConfirmed.New("unit %s has epoch %d, not %d", unit.Name, item.Revision, condition.Revision)
	}
	return nil
}
