package ownership

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// ensureLease returns a lease that has not passed its validity bound. It renews an
// existing lease if force is set, and grants one if there is none.
func (m *Manager) ensureLease(ctx context.Context, force bool) (keyvalue.LeaseID, error) {
	select {
	case m.leaseCalls <- struct{}{}:
		defer func() { <-m.leaseCalls }()
	case <-ctx.Done():
		return 0, ErrUnavailable.Wrap(ctx.Err(), "waiting for the lease")
	}
	id, valid := m.currentLease()
	if id != 0 && !valid {
		m.revokeExpired(ctx, id)
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

func (m *Manager) currentLease() (keyvalue.LeaseID, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lease.id, m.leaseValid()
}

// revokeExpired drops and revokes a lease that has passed its validity bound: a
// tenure that was once found invalid must not become valid again.
func (m *Manager) revokeExpired(ctx context.Context, id keyvalue.LeaseID) {
	m.dropLease(ctx, id)
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	_ = m.store.Revoke(ctx, id) // if the call fails, the lease expires by itself
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
	m.lease = leaseBound{id: id, validUntil: sent.Add(m.options.TTL - m.options.Margin)}
	return id, nil
}

func (m *Manager) keepAlive(ctx context.Context, id keyvalue.LeaseID) error {
	callCtx, cancel := m.callContext(ctx)
	defer cancel()
	sent := m.options.Now()
	err := m.store.KeepAlive(callCtx, id)
	switch {
	case errorx.IsOfType(err, keyvalue.ErrLeaseLapsed):
		m.dropLease(ctx, id)
		return ErrUnavailable.Wrap(err, "lease not renewed")
	case err != nil:
		return ErrUnavailable.Wrap(err, "lease not renewed")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.id == id && m.leaseValid() {
		m.lease.validUntil = sent.Add(m.options.TTL - m.options.Margin)
	}
	return nil
}

// endLease revokes the lease, and with it all keys attached to it.
func (m *Manager) endLease(ctx context.Context) error {
	id, _ := m.currentLease()
	if id == 0 {
		return nil
	}
	m.dropLease(ctx, id)
	ctx, cancel := m.callContext(ctx)
	defer cancel()
	err := m.store.Revoke(ctx, id)
	if err != nil && !errorx.IsOfType(err, keyvalue.ErrLeaseLapsed) {
		return ErrUnavailable.Wrap(err, "lease not revoked")
	}
	return nil
}

// callContext limits one call, so that an unresponsive service does not block renewal.
func (m *Manager) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, m.options.renewInterval())
}
