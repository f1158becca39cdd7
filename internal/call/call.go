// Package call holds the ports to endpoints: one request, its answer or its
// stream of events, and what is known when neither came.
package call

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Request is a request as an endpoint is to get it.
type Request struct {
	ID     string
	Method string
	// URI is the path with its query, unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is told to the endpoint as the time left; zero is none.
	Deadline time.Time
	// ReturnFailures: an endpoint's own failure is the answer, so that the caller
	// can count them.
	ReturnFailures bool
}

// Answer is a whole answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the endpoint's signature of the answer; empty when it gave none.
	Stamp string
}

// Success reports whether the endpoint did what was asked.
func (a *Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
	// Version is the weight version that generated it, when the event tells it.
	Version int64
	// Raw are the event's bytes with the empty line at its end.
	Raw []byte
}

// Start is what a stream's head tells.
type Start struct {
	Header  http.Header
	Version int64
}

// Receiver takes a stream. An error that it returns ends the stream.
type Receiver struct {
	Start func(Start) error
	Event func(Event) error
}

// Caller calls plain endpoints.
type Caller interface {
	// Call sends the request and returns its whole answer. Errors tell what is
	// known of the run.
	Call(ctx context.Context, e *fleet.Endpoint, request *Request) (*Answer, error)
}

// Streamer calls engines.
type Streamer interface {
	// Stream sends the request and hands on its events after event after; nil
	// means that the stream ended whole.
	Stream(ctx context.Context, e *fleet.Endpoint, request *Request, after int, receiver Receiver) error
}

// Errors of calls to endpoints.
var (
	Errors = errorx.NewNamespace("call")
	// ErrNotSent: the endpoint was not reached; nothing ran.
	ErrNotSent = Errors.NewType("not_sent")
	// ErrFull: the endpoint refused the request for now; nothing ran.
	ErrFull = Errors.NewType("full")
	// ErrMisdirected: another endpoint, or another version, is there; nothing ran.
	ErrMisdirected = Errors.NewType("misdirected")
	// ErrBroken: the connection ended without a whole answer; it may have run.
	ErrBroken = Errors.NewType("broken")
	// ErrForeign: the bytes that came are not this request's answer; it may
	// have run.
	ErrForeign = Errors.NewType("foreign")
	// ErrFailed: the endpoint itself reported a failure of the run.
	ErrFailed = Errors.NewType("failed")
	// ErrRejected: the endpoint says that the request can never be done.
	ErrRejected = Errors.NewType("rejected")
	// ErrEnded: the caller's context ended; it may have run.
	ErrEnded = Errors.NewType("ended")
	// ErrNoEndpoint: no endpoint takes work now.
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

// NotRun reports whether err says that the request surely did not run.
func NotRun(err error) bool { return Is(err, ErrNotSent, ErrFull, ErrMisdirected, ErrNoEndpoint) }
