package ownership

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// renewed returns a lease that is within its bound. It renews a standing one
// when force is set, and grants one when there is none.
func (m *Manager) renewed(ctx context.Context, force bool) (keyvalue.LeaseID, error) {
	select {
	case m.calling <- struct{}{}:
		defer func() { <-m.calling }()
	case <-ctx.Done():
		return 0, ErrUnavailable.Wrap(ctx.Err(), "waiting for the lease")
	}
	id, believed := m.standing()
	if id != 0 && !believed {
		m.abandon(ctx, id)
		id = 0
	}
	if id == 0 {
		return m.grant(ctx)
	}
	if !force {
		return id, nil
	}
	return id, m.keepAlive(ctx, id)
}

func (m *Manager) standing() (keyvalue.LeaseID, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lease.id, m.believes()
}

// abandon gives up a lease whose bound has passed: a tenure that was found
// invalid once must not come back.
func (m *Manager) abandon(ctx context.Context, id keyvalue.LeaseID) {
	m.forget(ctx, id)
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	_ = m.store.Revoke(ctx, id) // it lapses by itself when this fails
}

func (m *Manager) grant(ctx context.Context) (keyvalue.LeaseID, error) {
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	sent := m.options.Now()
	id, err := m.store.Grant(ctx, m.options.TTL)
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "lease not granted")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = leaseBound{id: id, until: sent.Add(m.options.TTL - m.options.Margin)}
	return id, nil
}

func (m *Manager) keepAlive(ctx context.Context, id keyvalue.LeaseID) error {
	callCtx, cancel := m.callContext(ctx)
	defer cancel()
	sent := m.options.Now()
	err := m.store.KeepAlive(callCtx, id)
	switch {
	case errorx.IsOfType(err, keyvalue.ErrLeaseLapsed):
		m.forget(ctx, id)
		return ErrUnavailable.Wrap(err, "lease not renewed")
	case err != nil:
		return ErrUnavailable.Wrap(err, "lease not renewed")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.id == id && m.believes() {
		m.lease.until = sent.Add(m.options.TTL - m.options.Margin)
	}
	return nil
}

// endLease gives the lease up with all that hangs on it.
func (m *Manager) endLease(ctx context.Context) error {
	id, _ := m.standing()
	if id == 0 {
		return nil
	}
	m.forget(ctx, id)
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	err := m.store.Revoke(ctx, id)
	if err != nil && !errorx.IsOfType(err, keyvalue.ErrLeaseLapsed) {
		return ErrUnavailable.Wrap(err, "lease not ended")
	}
	return nil
}

// callContext bounds one call, so that a silent service does not block renewal.
func (m *Manager) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.options.renewEvery())
}
