package memstore

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
	if err := s.begin(ctx, OpGrant, ""); err != nil {
		return 0, err
	}
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextLease++
	d.leases[d.nextLease] = &lease{ttl: ttl, expires: d.now().Add(ttl)}
	return d.nextLease, nil
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(ctx context.Context, id keyvalue.LeaseID) error {
	if err := s.begin(ctx, OpKeepAlive, ""); err != nil {
		return err
	}
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	l, ok := d.leases[id]
	if !ok {
		return keyvalue.ErrLeaseLapsed.New("lease %d", id)
	}
	l.expires = d.now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id keyvalue.LeaseID) error {
	if err := s.begin(ctx, OpRevoke, ""); err != nil {
		return err
	}
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if _, ok := d.leases[id]; !ok {
		return keyvalue.ErrLeaseLapsed.New("lease %d", id)
	}
	d.endLease(id)
	return nil
}

// Expire ends the leases whose TTL has passed, deletes their keys and wakes waiting
// watches. Every operation except Grant does so too.
func (s *Store) Expire() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.expire()
}

func (d *data) expire() {
	now := d.now()
	for id, l := range d.leases {
		if !now.Before(l.expires) {
			d.endLease(id)
		}
	}
}

func (d *data) endLease(id keyvalue.LeaseID) {
	delete(d.leases, id)
	for key, value := range d.values {
		if value.Lease == id {
			d.remove(key)
		}
	}
}

func (d *data) remove(key string) {
	delete(d.values, key)
	d.revision++
	d.appendHistory(keyvalue.Change{Value: keyvalue.Value{Key: key, Revision: d.revision}, Deleted: true})
}
