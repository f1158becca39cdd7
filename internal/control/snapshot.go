// Package control holds the control goroutine: it owns all control state of an
// entry and publishes immutable snapshots of it to traffic goroutines.
package control

import (
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
}

// Snapshot is an immutable picture of the control state.
type Snapshot struct {
	Self    Peer
	Peers   []Peer // live entries with Self, in order of ID
	Classes *class.Document
	// ConfirmedAt is when the class document was last known to be the newest.
	ConfirmedAt time.Time
	// Endpoints by model or application. Slices are never changed.
	Endpoints map[string][]*endpoint.Endpoint
	// Versions by model.
	Versions map[string]Versions
	// StoreReachable: the platform's key-value service answered lately.
	StoreReachable bool
}

// Snapshots hands the newest snapshot from the control goroutine to traffic
// goroutines through one atomic pointer. The zero value holds an empty one.
type Snapshots struct {
	current atomic.Pointer[Snapshot]
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
}
