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
	l, alive := d.leases[id]
	if !alive {
		return keyvalue.ErrLeaseLapsed.New("lease %d", id)
	}
	l.expires = d.now().Add(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id keyvalue.LeaseID) error {
	if err := s.begin(ctx, OpRevoke, ""); err != nil {
		return err
	}
	d := s.shared
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if _, alive := d.leases[id]; !alive {
		return keyvalue.ErrLeaseLapsed.New("lease %d", id)
	}
	d.end(id)
	return nil
}

// Expire ends the leases whose time has passed and wakes watches; every other
// call does so too.
func (s *Store) Expire() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.expire()
}

func (d *data) expire() {
	now := d.now()
	for id, l := range d.leases {
		if !now.Before(l.expires) {
			d.end(id)
		}
	}
}

func (d *data) end(id keyvalue.LeaseID) {
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
	d.record(keyvalue.Change{Value: keyvalue.Value{Key: key, Revision: d.revision}, Deleted: true})
}
