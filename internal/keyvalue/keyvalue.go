// Package keyvalue holds the ports to the platform's services: the key-value
// service and the instance list. Adapters live in sub-packages.
package keyvalue

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// LeaseID names a lease of the key-value service. Zero means no lease.
type LeaseID int64

// Value is one entry of the key-value service.
type Value struct {
	Key  string
	Data []byte
	// CreateRevision is the store revision that created the key; it serves as
	// a fencing number for what the key stands for. Zero in the answer to a
	// CompareAndSwap of a key that existed.
	CreateRevision int64
	// Revision is the store revision of the last write of the key.
	Revision int64
	Lease    LeaseID
}

// Change is one watched change. Deleted values carry only key and revision.
type Change struct {
	Value   Value
	Deleted bool
}

// Store is the platform's key-value service. Every call counts against its
// rate, a waiting watch as one. All methods return errors of this package.
type Store interface {
	// Get reads one key. ErrNotFound when it does not exist.
	Get(ctx context.Context, key string) (Value, error)
	// List reads all keys with a prefix, in key order, and the store revision
	// at which they were read.
	List(ctx context.Context, prefix string) ([]Value, int64, error)
	// CompareAndSwap writes data if the key's Revision equals expect; zero
	// means that the key must not exist. ErrConflict when it does not, and
	// then the returned Value is the current one. ErrOutcomeUnknown when the
	// write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, expect int64, data []byte, lease LeaseID) (Value, error)
	// Delete removes a key whose Revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. ErrLeaseLapsed when it is gone.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until keys with the prefix change after revision from, or
	// until wait has passed; it returns the changes and the revision to go on
	// from. ErrCompacted when from is too old; then List again.
	Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]Change, int64, error)
}

// InstanceKind says what runs on an instance.
type InstanceKind string

// Kinds of instances.
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
	// Serves is the model of an engine or the application of a service.
	Serves string `json:"serves,omitempty"`
	// ChecksFence says whether an engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	Leaving     bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Errors of the platform layer.
var (
	Errors = errorx.NewNamespace("keyvalue")
	// ErrNotFound: the key does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrConflict: the compare-and-swap found another revision.
	ErrConflict = Errors.NewType("conflict")
	// ErrLeaseLapsed: the lease is gone.
	ErrLeaseLapsed = Errors.NewType("lease_lapsed")
	// ErrCompacted: the watch's revision is too old.
	ErrCompacted = Errors.NewType("compacted")
	// ErrUnavailable: the service refused or could not be reached; the call
	// did not take effect.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown: the call may have taken effect.
	ErrOutcomeUnknown = Errors.NewType("outcome_unknown", errorx.Temporary())
)
