package kvclient

import (
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Paths of the key-value service. All calls are POST with a JSON body.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathSwap      = "/v1/swap"
	PathDelete    = "/v1/delete"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
	PathRevoke    = "/v1/lease/revoke"
	PathWatch     = "/v1/watch"
)

// HeaderClientID names the client to the service.
const HeaderClientID = "X-Client-Id"

// MaxValue is the largest value of a key, in bytes.
const MaxValue = 1 << 20

// ErrorCode says why a call failed.
type ErrorCode string

// Error codes of the service.
const (
	CodeNotFound    ErrorCode = "not_found"    // 404
	CodeConflict    ErrorCode = "conflict"     // 409
	CodeLeaseLapsed ErrorCode = "lease_lapsed" // 410
	CodeCompacted   ErrorCode = "compacted"    // 410
	CodeTooLarge    ErrorCode = "too_large"    // 413
	CodeInvalid     ErrorCode = "invalid"      // 400
)

// Value is a key with its value.
type Value struct {
	Key            string           `json:"key"`
	Data           []byte           `json:"data,omitempty"`
	CreateRevision int64            `json:"create_revision"`
	Revision       int64            `json:"revision"`
	Lease          keyvalue.LeaseID `json:"lease,omitempty"`
}

// Change is one watched change.
type Change struct {
	Value   Value `json:"value"`
	Deleted bool  `json:"deleted,omitempty"`
}

// KeyRequest is the body of PathGet.
type KeyRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of PathList.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListReply answers PathList.
type ListReply struct {
	Values   []Value `json:"values"`
	Revision int64   `json:"revision"`
}

// SwapRequest is the body of PathSwap; the reply is the new Value.
type SwapRequest struct {
	Key string `json:"key"`
	// Expect is the revision that the key must have; zero: it must not exist.
	Expect int64            `json:"expect"`
	Data   []byte           `json:"data"`
	Lease  keyvalue.LeaseID `json:"lease,omitempty"`
}

// DeleteRequest is the body of PathDelete.
type DeleteRequest struct {
	Key    string `json:"key"`
	Expect int64  `json:"expect"`
}

// GrantRequest is the body of PathGrant.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// LeaseRequest is the body of PathKeepAlive and PathRevoke.
type LeaseRequest struct {
	Lease keyvalue.LeaseID `json:"lease"`
}

// LeaseReply answers PathGrant.
type LeaseReply struct {
	Lease keyvalue.LeaseID `json:"lease"`
}

// WatchRequest is the body of PathWatch: a long poll.
type WatchRequest struct {
	Prefix     string `json:"prefix"`
	From       int64  `json:"from"`
	WaitMillis int64  `json:"wait_ms"`
}

// WatchReply answers PathWatch; Revision is the one to go on from.
type WatchReply struct {
	Changes  []Change `json:"changes"`
	Revision int64    `json:"revision"`
}

// Failure is the body of every answer other than 200.
type Failure struct {
	Code   ErrorCode `json:"code"`
	Detail string    `json:"detail,omitempty"`
	// Current is the present value on a conflict, if the key exists.
	Current *Value `json:"current,omitempty"`
}
