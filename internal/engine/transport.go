package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/strict"
)

// Limits of connections to endpoints.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 60 * time.Second
	idleConnsPerHost    = 64
	maxAnswerHeaderSize = 64 << 10 // bytes
)

// NewTransport returns the transport for calls that may be repeated. It reuses
// connections.
func NewTransport() *strict.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return strict.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderSize,
		DisableCompression:     true,
	})
}

// NewSingleUseTransport returns the transport for calls that must not be repeated. It
// opens a new connection for each call, because net/http resends a request with an
// Idempotency-Key on its own when a reused connection turns out to be closed.
func NewSingleUseTransport() *strict.Transport {
	transport := NewTransport()
	transport.DisableKeepAlives = true
	return transport
}

// sendTracker records whether a request can have reached its endpoint.
type sendTracker struct {
	connected atomic.Bool
}

// trace returns a context in which the HTTP client reports that it has a connection,
// before it writes the first byte.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// classify converts an error of the HTTP client into an error of this package.
func (s *sendTracker) classify(ctx context.Context, err error) error {
	switch {
	case !s.connected.Load() && ctx.Err() == nil:
		return ErrNotSent.Wrap(err, "no connection")
	case !s.connected.Load():
		return ErrNotSent.Wrap(err, "canceled before a connection was established")
	case errors.Is(context.Cause(ctx), errStalled):
		return ErrStalled.Wrap(err, "no progress")
	case ctx.Err() != nil:
		return ErrCanceled.Wrap(err, "canceled")
	default:
		return ErrBroken.Wrap(err, "connection broken")
	}
}

// isEndpointFailure reports whether a status indicates a problem of the endpoint rather than
// of the request, so that another endpoint may answer the request.
func isEndpointFailure(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return true
	default:
		return status >= http.StatusInternalServerError
	}
}

// classifyStatus converts an unsuccessful answer into an error of this package.
func classifyStatus(answer *http.Response) error {
	notRun := answer.Header.Get(HeaderOutcome) == OutcomeNotRun
	switch {
	case notRun && answer.Header.Get(HeaderLeaving) != "":
		return ErrLeaving.New("status %d", answer.StatusCode)
	case notRun:
		return ErrNotRun.New("status %d", answer.StatusCode)
	case isEndpointFailure(answer.StatusCode):
		return ErrFailed.New("status %d", answer.StatusCode)
	default:
		return ErrRejected.New("status %d", answer.StatusCode)
	}
}
