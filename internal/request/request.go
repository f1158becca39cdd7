// Package request defines what identifies a caller's request, the three outcomes in which
// it can end, and the errors and error answers of the request layer.
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
	// HeaderMinVersion requires an answer of at least this weight version
	// (read-your-writes after a correction).
	HeaderMinVersion = "X-Min-Weight-Version"
	// HeaderVersions lists the weight versions that produced the answer.
	HeaderVersions = "X-Weight-Versions"
	// HeaderOutcome contains the outcome on every answer.
	HeaderOutcome = "X-Outcome"
	// HeaderRequestID identifies the request; the answer echoes it.
	HeaderRequestID = "X-Request-Id"
)

// Outcome describes how a request ended.
type Outcome string

// Outcomes of a request. Each request has exactly one.
const (
	// Answered means that the complete answer was returned.
	Answered Outcome = "answered"
	// NotRun means that no endpoint ran any part of the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Problem is the body of every error answer, according to RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is the delay in milliseconds after which the caller may retry; zero
	// means unset.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}

// ProblemContentType is the media type of Problem.
const ProblemContentType = "application/problem+json"

// Errors of the request layer. Each determines the status and outcome of the answer.
var (
	Errors = errorx.NewNamespace("request")
	// ErrInvalid means that the request is malformed; nothing ran.
	ErrInvalid = Errors.NewType("invalid")
	// ErrTooLarge means that the body exceeds its limit; nothing ran.
	ErrTooLarge = Errors.NewType("too_large")
	// ErrRefused means that the request was refused by admission control or because of an
	// outage; nothing ran.
	ErrRefused = Errors.NewType("refused")
	// ErrNoEndpoint means that no endpoint can serve the request; nothing ran.
	ErrNoEndpoint = Errors.NewType("no_endpoint")
	// ErrUnknown means that the request may have run and there is no complete answer.
	ErrUnknown = Errors.NewType("unknown")
	// ErrDuplicate means that the idempotency key was already used; this request did not
	// run, but the first request with the key may have.
	ErrDuplicate = Errors.NewType("duplicate")
	// ErrSuspect means that the request is convicted of crashing endpoints.
	ErrSuspect = Errors.NewType("suspect")

	propRetryAfter = errorx.RegisterProperty("retry_after")
)

// WithRetryAfter returns err with a delay after which the caller may retry.
func WithRetryAfter(err *errorx.Error, after time.Duration) *errorx.Error {
	return err.WithProperty(propRetryAfter, after)
}

// ProblemOf converts an error of this layer into the answer to the caller. Any other
// error becomes an unknown outcome.
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
