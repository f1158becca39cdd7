// Package keyvalue defines the interfaces to the platform's services: the key-value
// service and the instance list. The sub-packages implement them.
package keyvalue

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// LeaseID identifies a lease of the key-value service. Zero means no lease.
type LeaseID int64

// Value is one key of the key-value service with its data and revisions.
type Value struct {
	Key  string
	Data []byte
	// CreateRevision is the store revision that created the key. It serves as a
	// fencing number for whatever the key represents. It may be zero in the result of
	// a CompareAndSwap on a key that already existed.
	CreateRevision int64
	// Revision is the store revision of the last write of the key.
	Revision int64
	Lease    LeaseID
}

// Change is one change reported by Watch. The Value of a deleted key has only Key and
// Revision.
type Change struct {
	Value   Value
	Deleted bool
}

// Store is the platform's key-value service. Every call counts against the service's
// rate limit; a waiting Watch counts as one call. All methods return errors of this
// package.
type Store interface {
	// Get reads one key. It returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Value, error)
	// List returns all keys with a prefix, in key order, and the store revision at
	// which they were read.
	List(ctx context.Context, prefix string) ([]Value, int64, error)
	// CompareAndSwap writes data if the key's Revision equals expect; zero means
	// that the key must not exist. If the revision differs, it returns the current
	// Value and ErrConflict. It returns ErrOutcomeUnknown if the write may have
	// taken effect.
	CompareAndSwap(ctx context.Context, key string, expect int64, data []byte, lease LeaseID) (Value, error)
	// Delete removes a key whose Revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseLapsed if the lease no longer exists.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until keys with the prefix change after revision from, or until
	// wait has passed. It returns the changes and the revision from which to
	// continue. It returns ErrCompacted if from is too old; the caller must then
	// List again.
	Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]Change, int64, error)
}

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// Values of InstanceKind.
const (
	KindEntry   InstanceKind = "entry"
	KindEngine  InstanceKind = "engine"
	KindService InstanceKind = "service"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	ID            string       `json:"id"`
	Kind          InstanceKind `json:"kind"`
	Address       string       `json:"address"` // host:port of its main interface
	FailureDomain string       `json:"failure_domain"`
	Region        string       `json:"region"`
	// Serves is the model that an engine serves or the application of a service.
	Serves string `json:"serves,omitempty"`
	// ChecksFence reports whether an engine rejects commands with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	Leaving     bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. The list lags
// behind the actual state.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Errors of the platform layer.
var (
	Errors = errorx.NewNamespace("keyvalue")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrConflict means that the revision of the key is not the expected one.
	ErrConflict = Errors.NewType("conflict")
	// ErrLeaseLapsed means that the lease has expired or was revoked.
	ErrLeaseLapsed = Errors.NewType("lease_lapsed")
	// ErrCompacted means that the watch's revision is older than the stored history.
	ErrCompacted = Errors.NewType("compacted")
	// ErrUnavailable means that the service rejected the call or was unreachable; the
	// call did not take effect.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown means that the call may have taken effect.
	ErrOutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Temporary())
)
