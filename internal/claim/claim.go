// Package claim makes a keyed request run at most once, whichever entry its
// caller sends it or its repeats to. Keys are spread over partitions. Each
// partition has one owner, which holds its claims in memory and commits them in
// groups to the platform's key-value service before it grants them.
package claim

import (
	"context"

	"github.com/joomcode/errorx"
)

// Claimer decides whether a keyed request may run.
type Claimer interface {
	// Claim asks for the right to run the request. The request may be sent
	// only if the error is nil and the verdict is Granted. An error is always
	// an ErrUnavailable: the request did not run and may be sent again later.
	Claim(ctx context.Context, request Request) (Grant, error)
	// Settle tells how a granted request ended. Without an error the owner knows
	// it: a NotRun is durable then, other endings are so soon after. An error
	// means that later repeats may be told Running.
	Settle(ctx context.Context, grant Grant, ending Ending) error
}

// Request is one attempt of a caller to have a keyed request run.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// Claimant names the attempt, for instance by the request's identifier.
	Claimant string
}

// Verdict is what a claim came to.
type Verdict int

// The verdicts.
const (
	// Granted: this attempt, and no other, may run the request.
	Granted Verdict = iota + 1
	// Taken: another attempt ran it, or may be running it; see Grant.Prior.
	Taken
	// Mismatch: the key was used with another body.
	Mismatch
)

// Grant is the result of a claim. Pass it to Settle as it is.
type Grant struct {
	Verdict Verdict
	Key     Key
	// Epoch of the owner that decided.
	Epoch int64
	// Claimant is the attempt's unique name with the owner.
	Claimant string
	// Prior is how the earlier attempt ended when the verdict is Taken.
	Prior Ending
	// owner is the entry that decided; Settle asks it first.
	owner string
}

// State says how far a claimed request has come.
type State uint8

// The states.
const (
	// Running: it was granted and no ending is known; it may have run.
	Running State = iota + 1
	// Answered: it ran and its caller was given the answer.
	Answered
	// NotRun: it surely did not run; the key may be claimed again.
	NotRun
	// Unknown: it may have run.
	Unknown
)

// Ending is how a claimed request ended.
type Ending struct {
	State State
	// Answer is what was answered, or nil when it is not held.
	Answer *Answer
}

// Answer is a stored answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Errors of the claim layer.
var (
	Errors = errorx.NewNamespace("claim")
	// ErrUnavailable: no owner can commit the claim now; the request did not run.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrNotSettled: the ending was not committed.
	ErrNotSettled = Errors.NewType("not_settled", errorx.Temporary())
	// ErrFenced: another owner has taken the partition over.
	ErrFenced = Errors.NewType("fenced")
	// errLeaving: this entry takes no claims any more; another one may.
	errLeaving = Errors.NewType("leaving")
	// ErrCorrupt: what stands in the platform's service cannot be decoded.
	ErrCorrupt = Errors.NewType("corrupt")
)
