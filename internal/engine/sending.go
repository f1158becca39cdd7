package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Limits of connections to endpoints.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 60 * time.Second
	idleConnsPerHost    = 64
	maxAnswerHeaderSize = 64 << 10 // bytes
)

// NewTransport returns the transport for calls that may be repeated; it keeps
// connections.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderSize,
		DisableCompression:     true,
	}
}

// NewSingleUseTransport returns the transport for calls that must not be
// repeated. Each call has a connection of its own, because net/http sends a
// request with an Idempotency-Key again by itself when a kept connection turns
// out to be closed.
func NewSingleUseTransport() *http.Transport {
	transport := NewTransport()
	transport.DisableKeepAlives = true
	return transport
}

// sending watches whether a request can have reached its endpoint.
type sending struct {
	connected atomic.Bool
}

// trace returns a context in which the HTTP client reports a connection before
// it writes the first byte.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// classify turns an error of the HTTP client into one of this layer.
func (s *sending) classify(ctx context.Context, err error) error {
	switch {
	case !s.connected.Load() && ctx.Err() == nil:
		return ErrNotSent.Wrap(err, "no connection")
	case !s.connected.Load():
		return ErrNotSent.Wrap(err, "given up before a connection")
	case errors.Is(context.Cause(ctx), errStalled):
		return ErrStalled.Wrap(err, "no progress")
	case ctx.Err() != nil:
		return ErrCanceled.Wrap(err, "given up")
	default:
		return ErrBroken.Wrap(err, "the connection broke")
	}
}

// blamesEndpoint reports whether a status speaks of the endpoint's state, not of
// the request; another endpoint may answer it.
func blamesEndpoint(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return true
	default:
		return status >= http.StatusInternalServerError
	}
}

// classifyStatus turns an answer that is no success into an error of this layer.
func classifyStatus(answer *http.Response) error {
	notRun := answer.Header.Get(HeaderOutcome) == OutcomeNotRun
	switch {
	case notRun && answer.Header.Get(HeaderLeaving) != "":
		return ErrLeaving.New("status %d", answer.StatusCode)
	case notRun:
		return ErrNotRun.New("status %d", answer.StatusCode)
	case blamesEndpoint(answer.StatusCode):
		return ErrFailed.New("status %d", answer.StatusCode)
	default:
		return ErrRejected.New("status %d", answer.StatusCode)
	}
}
