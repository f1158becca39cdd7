// Package claim ensures that a request with an idempotency key runs at most once,
// whichever entries receive the request and its retries. Keys are divided among
// partitions. Each partition has one owner, which keeps the partition's claims in memory
// and commits them in groups to the platform's key-value service before it grants them.
package claim

import (
	"context"

	"github.com/joomcode/errorx"
)

// Claimer decides whether a keyed request may run.
type Claimer interface {
	// Claim requests permission to run the request. The request may be sent only if
	// the error is nil and the verdict is Granted. An error is always an
	// ErrUnavailable: the request did not run and may be retried later.
	Claim(ctx context.Context, request Request) (Grant, error)
	// Settle reports how a granted request ended. If it returns nil, the owner has
	// recorded the ending: NotRun is already durable, other endings become durable
	// soon after. After an error, later retries may get the state Running.
	Settle(ctx context.Context, grant Grant, ending Ending) error
}

// Request is one attempt to run a request with an idempotency key.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// Claimant identifies the attempt, for example by the request's identifier.
	Claimant string
}

// Verdict is the decision on a claim.
type Verdict int

// Values of Verdict.
const (
	// Granted means that this attempt, and no other, may run the request.
	Granted Verdict = iota + 1
	// Taken means that another attempt ran the request or may be running it; see
	// Grant.Prior.
	Taken
	// Mismatch means that the key was already used with another request body.
	Mismatch
)

// Grant is the result of a claim. Callers pass it to Settle unchanged.
type Grant struct {
	Verdict Verdict
	Key     Key
	// Epoch is the epoch of the owner that decided.
	Epoch int64
	// Claimant is the unique name of the attempt that the owner stores.
	Claimant string
	// Prior is the ending of the earlier attempt if the verdict is Taken.
	Prior Ending
	// owner is the entry that decided; Settle calls it first.
	owner string
}

// State is the state of a claimed request.
type State uint8

// Values of State.
const (
	// Running means that the claim was granted and no ending is known; the request may
	// have run.
	Running State = iota + 1
	// Answered means that the request ran and its caller got the answer.
	Answered
	// NotRun means that the request certainly did not run; the key may be claimed again.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Ending is how a claimed request ended.
type Ending struct {
	State State
	// Answer is the answer, or nil if it is not stored.
	Answer *Answer
}

// Answer is the stored answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Errors of the claim layer.
var (
	Errors = errorx.NewNamespace("claim")
	// ErrUnavailable means that no owner can commit the claim now; the request did not
	// run.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrNotSettled means that the ending was not committed.
	ErrNotSettled = Errors.NewType("not_settled", errorx.Temporary())
	// ErrFenced means that another owner has taken over the partition.
	ErrFenced = Errors.NewType("fenced")
	// errLeaving means that this entry no longer accepts claims; another entry may.
	errLeaving = Errors.NewType("leaving")
	// ErrCorrupt means that data in the platform's key-value service cannot be decoded.
	ErrCorrupt = Errors.NewType("corrupt")
)
