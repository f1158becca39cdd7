// Package call defines the interfaces to endpoints: a request, its answer or its
// stream of events, and errors that report the known outcome if neither arrived.
package call

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Request is a request as it is sent to an endpoint.
type Request struct {
	ID     string
	Method string
	// URI is the path with its query, unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Account is the name of the client account that sent the request; empty means none.
	Account string
	// Priority, if HasPriority is set, is the urgency of the request at an engine; zero is the
	// most urgent.
	Priority    int
	HasPriority bool
	// Deadline is sent to the endpoint as the remaining time; zero means no
	// deadline.
	Deadline time.Time
	// Version is the only weight version under which the request may run; zero allows any.
	Version int64
	// Owed means that the request is sent again however often endpoints crashed while they
	// ran it.
	Owed bool
	// ReturnFailures makes an endpoint's own failure the answer instead of a reason
	// to retry, so that the caller can count failures.
	ReturnFailures bool
	// DiscardBody means that the body of the answer is read to its end but not returned.
	DiscardBody bool
}

// Answer is a complete answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the endpoint's signature of the answer, or empty if there is none.
	Stamp string
}

// Success reports whether the answer has a status that means success.
func (a *Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Failed reports whether the endpoint reports that the run itself failed. Other statuses that
// mean no success say that it did not end in time, or could not be served there: a retry may
// succeed.
func (a *Answer) Failed() bool { return a.Status == http.StatusInternalServerError }

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version that generated the event, or zero if the event
	// does not report it.
	Version int64
	// Raw is the encoded event, including the empty line at its end.
	Raw []byte
}

// Start is the head of a stream's answer.
type Start struct {
	Header  http.Header
	Version int64
}

// Receiver is called with the parts of a stream. An error that it returns ends the
// stream.
type Receiver struct {
	Start func(Start) error
	Event func(Event) error
}

// Caller calls plain endpoints.
type Caller interface {
	// Call sends the request and returns its complete answer. The type of an error
	// indicates whether the request may have run.
	Call(ctx context.Context, e *fleet.Endpoint, request *Request) (*Answer, error)
}

// Streamer calls engines.
type Streamer interface {
	// Stream sends the request and passes the events that follow event after to
	// receiver. It returns nil only if the stream ended completely.
	Stream(ctx context.Context, e *fleet.Endpoint, request *Request, after int, receiver Receiver) error
}

// Errors of calls to endpoints.
var (
	Errors = errorx.NewNamespace("call")
	// ErrNotSent means that the endpoint was not reached; nothing ran.
	ErrNotSent = Errors.NewType("not_sent")
	// ErrFull means that the endpoint refused the request for now; nothing ran.
	ErrFull = Errors.NewType("full")
	// ErrMisdirected means that a different endpoint, or a different version, is at
	// the address; nothing ran.
	ErrMisdirected = Errors.NewType("misdirected")
	// ErrBroken means that the connection ended before the answer was complete; the
	// request may have run.
	ErrBroken = Errors.NewType("broken")
	// ErrMalformed means that the endpoint sent bytes that are no answer; the request may have
	// run.
	ErrMalformed = Errors.NewType("malformed")
	// ErrForeign means that the received data is not the answer to this request;
	// the request may have run.
	ErrForeign = Errors.NewType("foreign")
	// ErrFailed means that the endpoint reported a failure of the run.
	ErrFailed = Errors.NewType("failed")
	// ErrRejected means that the request can never be served, so that a retry is
	// useless.
	ErrRejected = Errors.NewType("rejected")
	// ErrEnded means that the caller's context ended; the request may have run.
	ErrEnded = Errors.NewType("ended")
	// ErrLeaving means that this instance would stop before the request is answered; nothing ran.
	ErrLeaving = Errors.NewType("leaving")
	// ErrNoEndpoint means that no endpoint accepts work now.
	ErrNoEndpoint = Errors.NewType("no_endpoint")
)

// Is reports whether err is of one of the types.
func Is(err error, types ...*errorx.Type) bool {
	for _, t := range types {
		if err != nil && errorx.IsOfType(err, t) {
			return true
		}
	}
	return false
}

// NotRun reports whether err means that the request certainly did not run.
func NotRun(err error) bool {
	return Is(err, ErrNotSent, ErrFull, ErrMisdirected, ErrLeaving, ErrNoEndpoint)
}
