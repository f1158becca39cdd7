// Package request is the aggregate of one caller's request: its identity, its
// kind and the three outcomes that it can end in.
package request

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Headers that callers send and receive.
const (
	HeaderClass          = "X-Class"
	HeaderTenant         = "X-Tenant"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderMinVersion asks for an answer of at least this weight version
	// (read-your-writes after a correction).
	HeaderMinVersion = "X-Min-Weight-Version"
	// HeaderVersions lists the weight versions that produced the answer.
	HeaderVersions = "X-Weight-Versions"
	// HeaderOutcome states the outcome on every answer.
	HeaderOutcome = "X-Outcome"
	// HeaderRequestID identifies the request; the answer echoes it.
	HeaderRequestID = "X-Request-Id"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes. Exactly one holds for each request.
const (
	// Answered: the whole answer was given.
	Answered Outcome = "answered"
	// NotRun: no endpoint ran any of it.
	NotRun Outcome = "not-run"
	// Unknown: it may have run.
	Unknown Outcome = "unknown"
)

// Problem is the body of every error answer, after RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis says when to come back, in milliseconds; zero is unset.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}

// ProblemContentType is the media type of Problem.
const ProblemContentType = "application/problem+json"

// Errors of the request layer. Each carries the status and outcome to answer.
var (
	Errors = errorx.NewNamespace("request")
	// ErrInvalid: the request is malformed; nothing ran.
	ErrInvalid = Errors.NewType("invalid")
	// ErrTooLarge: the body is above its bound; nothing ran.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrRefused: admission or an outage refused it; nothing ran.
	ErrRefused = Errors.NewType("refused")
	// ErrNoEndpoint: no endpoint can take it; nothing ran.
	ErrNoEndpoint = Errors.NewType("no_endpoint")
	// ErrUnknown: it may have run and no whole answer exists.
	ErrUnknown = Errors.NewType("unknown")
	// ErrDuplicate: its idempotency key was used already; this repeat did not
	// run, but the first may have.
	ErrDuplicate = Errors.NewType("duplicate")
	// ErrSuspect: it is convicted of crashing endpoints.
	ErrSuspect = Errors.NewType("suspect")

	propRetryAfter = errorx.RegisterProperty("retry_after")
)

// WithRetryAfter returns err with a time after which to come back.
func WithRetryAfter(err *errorx.Error, after time.Duration) *errorx.Error {
	return err.WithProperty(propRetryAfter, after)
}

// ProblemOf turns an error of this layer into the answer that the caller gets.
// An error that it does not know is an unknown outcome.
func ProblemOf(err error) Problem {
	p := Problem{Type: "about:blank", Status: http.StatusBadGateway, Outcome: Unknown, Title: "outcome unknown", Detail: err.Error()}
	switch {
	case errorx.IsOfType(err, ErrInvalid):
		p.Status, p.Outcome, p.Title = http.StatusBadRequest, NotRun, "invalid request"
	case errorx.IsOfType(err, ErrTooLarge):
		p.Status, p.Outcome, p.Title = http.StatusRequestEntityTooLarge, NotRun, "body too large"
	case errorx.IsOfType(err, ErrRefused):
		p.Status, p.Outcome, p.Title = http.StatusServiceUnavailable, NotRun, "refused"
	case errorx.IsOfType(err, ErrNoEndpoint):
		p.Status, p.Outcome, p.Title = http.StatusServiceUnavailable, NotRun, "no endpoint"
	case errorx.IsOfType(err, ErrDuplicate):
		p.Status, p.Outcome, p.Title = http.StatusConflict, Unknown, "duplicate"
	case errorx.IsOfType(err, ErrSuspect):
		p.Status, p.Outcome, p.Title = http.StatusUnprocessableEntity, NotRun, "request crashes endpoints"
	}
	if e := errorx.Cast(err); e != nil {
		if after, ok := e.Property(propRetryAfter); ok {
			if d, isDuration := after.(time.Duration); isDuration {
				p.RetryAfterMillis = d.Milliseconds()
			}
		}
	}
	return p
}
