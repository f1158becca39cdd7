// Package control holds the control goroutine: it owns all control state of an
// entry and publishes immutable snapshots of it to traffic goroutines.
package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
)

// Peer is one entry, this one included.
type Peer struct {
	ID            string
	Address       string // host:port of its interface for entries
	FailureDomain string
	Incarnation   int64
	Leaving       bool
	// ConfigRevision is the newest revision it was heard to hold.
	ConfigRevision int64
}

// Versions are the weight versions of one model.
type Versions struct {
	// Newest is the version that the newest accepted rollout brings.
	Newest int64
	// Floor: no answer of an older version may be given.
	Floor int64
	// accepted are the newest versions of late, in order.
	accepted []acceptedVersion
}

// acceptedVersion is a version that became the newest, and when this entry
// learned of it.
type acceptedVersion struct {
	version int64
	at      time.Time
}

// maxAccepted is how many versions of a model are remembered with their times.
const maxAccepted = 16

// accept returns the versions with newest as the newest, learned of now.
func (v Versions) accept(newest int64, now time.Time) Versions {
	if newest <= v.Newest {
		return v
	}
	v.Newest = newest
	v.accepted = append(slices.Clone(v.accepted), acceptedVersion{version: newest, at: now})
	if len(v.accepted) > maxAccepted {
		v.accepted = v.accepted[1:]
	}
	return v
}

// OldestWithin returns the lowest version that was not replaced longer ago than
// age, as far as this entry knows; an entry counts from when it learned of a
// version.
func (v Versions) OldestWithin(age time.Duration, now time.Time) int64 {
	lowest := int64(0)
	for _, accepted := range v.accepted {
		if now.Sub(accepted.at) > age {
			lowest = accepted.version
		}
	}
	return lowest
}

// Snapshot is an immutable picture of the control state.
type Snapshot struct {
	Self  Peer
	Peers []Peer // entries that are not dead, with Self, in order of ID
	// Dead lists the IDs of entries that were known and are taken for dead.
	Dead    []string
	Classes *class.Document
	// ConfirmedAt is when the class document was last known to be the newest.
	ConfirmedAt time.Time
	// Endpoints by model or application. Slices are never changed.
	Endpoints map[string][]*endpoint.Endpoint
	// Sharers is the number of entries that share an endpoint: all that stay, or
	// its followers where not every entry follows all.
	Sharers int
	// Versions by model.
	Versions map[string]Versions
	// Settled: the entry knows the other entries of the instance list, or has
	// looked for them for a while since its start.
	Settled bool
	// StoreReachable: the platform's key-value service answered lately.
	StoreReachable bool
	// PeersReachable: a peer answered lately.
	PeersReachable bool
}

// Staying returns the number of entries that are neither dead nor leaving.
func (s *Snapshot) Staying() int {
	count := 0
	for _, peer := range s.Peers {
		if !peer.Leaving {
			count++
		}
	}
	return count
}

// FreshFor is how long a confirmation of the class document holds.
const FreshFor = 4 * time.Second

// Fresh reports whether the class document was known to be the newest lately.
func (s *Snapshot) Fresh(now time.Time) bool {
	return now.Sub(s.ConfirmedAt) <= FreshFor
}

// Isolated reports whether neither the platform's service nor a peer answered
// lately, so that the class document can't be confirmed.
func (s *Snapshot) Isolated() bool {
	return !s.StoreReachable && !s.PeersReachable
}

// Snapshots hands the newest snapshot from the control goroutine to traffic
// goroutines through one atomic pointer. The zero value holds an empty one.
type Snapshots struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{} // closed by the next Publish
}

// Load returns the newest snapshot, never nil.
func (s *Snapshots) Load() *Snapshot {
	if snapshot := s.current.Load(); snapshot != nil {
		return snapshot
	}
	return &Snapshot{Classes: &class.Document{}}
}

// Publish makes snapshot the newest. The caller must not change it afterwards.
func (s *Snapshots) Publish(snapshot *Snapshot) {
	s.current.Store(snapshot)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that the next Publish closes.
func (s *Snapshots) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Confirmed returns a snapshot whose class document is confirmed. It waits for
// one until the context ends or the entry is isolated, and then returns the
// newest with false: work that a stale class would not harm may go on.
func (s *Snapshots) Confirmed(ctx context.Context, now func() time.Time) (*Snapshot, bool) {
	for {
		changed := s.Changed()
		snapshot := s.Load()
		if snapshot.Fresh(now()) {
			return snapshot, true
		}
		if snapshot.Isolated() {
			return snapshot, false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s.Load(), false
		}
	}
}
