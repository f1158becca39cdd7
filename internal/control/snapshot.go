// Package control implements the control goroutine, which owns all control state of
// an entry and publishes immutable snapshots of it to traffic goroutines.
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

// Peer describes one entry, which may be this one.
type Peer struct {
	ID            string
	Address       string // host:port of its interface for other entries
	FailureDomain string
	Incarnation   int64
	Leaving       bool
	// ConfigRevision is the newest class document revision that it reported.
	ConfigRevision int64
}

// Versions holds the weight versions of one model.
type Versions struct {
	// Newest is the version of the newest accepted rollout.
	Newest int64
	// Floor is the oldest version whose answers may be returned.
	Floor int64
	// accepted holds the last maxAccepted versions that became the newest, in
	// ascending order.
	accepted []acceptedVersion
}

// acceptedVersion is a version that became the newest, with the time at which this
// entry received it.
type acceptedVersion struct {
	version int64
	at      time.Time
}

// maxAccepted bounds the versions of a model that are kept with their times.
const maxAccepted = 16

// accept returns v with newest as its newest version, received by this entry at now. A
// version that is not higher changes nothing.
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

// OldestWithin returns the lowest version that was not replaced more than age ago. A
// version counts as replaced when this entry received a newer one.
func (v Versions) OldestWithin(age time.Duration, now time.Time) int64 {
	lowest := int64(0)
	for _, accepted := range v.accepted {
		if now.Sub(accepted.at) > age {
			lowest = accepted.version
		}
	}
	return lowest
}

// Snapshot is an immutable copy of the control state.
type Snapshot struct {
	Self  Peer
	Peers []Peer // entries that are not dead, including Self, in order of ID
	// Dead lists the IDs of known entries that are considered dead.
	Dead    []string
	Classes *class.Document
	// ConfirmedAt is when the class document was last known to be the newest.
	ConfirmedAt time.Time
	// Endpoints holds the followed endpoints by model or application. The slices are
	// never modified.
	Endpoints map[string][]*endpoint.Endpoint
	// EntriesPerEndpoint is the number of entries that share an endpoint: all entries that are
	// not leaving, or the followers of an endpoint if entries do not follow all.
	EntriesPerEndpoint int
	// Versions holds the weight versions by model.
	Versions map[string]Versions
	// Settled reports whether the entry knows the other entries of the instance list,
	// or has waited long enough for them since its start.
	Settled bool
	// StoreReachable reports whether the platform's key-value service answered
	// recently.
	StoreReachable bool
	// PeersReachable reports whether a peer answered recently.
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

// FreshFor is how long a confirmation of the class document is valid.
const FreshFor = 4 * time.Second

// Fresh reports whether the class document was confirmed as the newest within
// FreshFor.
func (s *Snapshot) Fresh(now time.Time) bool {
	return now.Sub(s.ConfirmedAt) <= FreshFor
}

// Isolated reports whether neither the platform's key-value service nor a peer
// answered recently, so that the class document cannot be confirmed.
func (s *Snapshot) Isolated() bool {
	return !s.StoreReachable && !s.PeersReachable
}

// Snapshots passes the newest snapshot from the control goroutine to traffic
// goroutines through one atomic pointer. The zero value holds an empty snapshot.
type Snapshots struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{} // closed by the next Publish
}

// Load returns the newest snapshot. It is never nil.
func (s *Snapshots) Load() *Snapshot {
	if snapshot := s.current.Load(); snapshot != nil {
		return snapshot
	}
	return &Snapshot{Classes: &class.Document{}}
}

// Publish makes snapshot the newest. The caller must not modify it afterwards.
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

// Confirmed returns a snapshot whose class document is confirmed. It waits for such
// a snapshot until the context ends or the entry is isolated. It then returns the
// newest snapshot and false, so that work for which a stale class is harmless may
// continue.
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
