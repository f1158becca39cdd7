// Package strict provides an HTTP transport for intermediaries: it takes bytes for an answer only
// if their head is well-formed by RFC 9110 and RFC 9112, and the end of a connection for the end of
// an answer only if there is proof that the connection ended in order. By itself net/http is
// lenient towards servers, for instance with status codes and the names of fields.
package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// defaultHeadBytes bounds the head of an answer for transports that set no bound.
const defaultHeadBytes = 64 << 10

// Transport is an http.Transport that rejects malformed answers with ErrMalformed. The body of an
// answer that ends with a connection which broke fails with ErrBroken. Answers over TLS are not
// checked.
type Transport struct {
	*http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport with the settings of base, which must not be used by itself any
// more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(dialed), nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = defaultHeadBytes
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, _, err := t.Exchange(request)
	return response, err
}

// Exchange is RoundTrip that also returns the connection on which the answer arrives.
func (t *Transport) Exchange(request *http.Request) (*http.Response, net.Conn, error) {
	var current atomic.Pointer[exchange] // nil over TLS
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			var begun *exchange
			if got, ok := info.Conn.(*conn); ok {
				begun = got.begin()
			}
			current.Store(begun)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if used := current.Load(); used != nil && info.Err == nil {
				used.requestWritten.Store(true)
			}
		},
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	used := current.Load()
	if used == nil {
		return response, nil, err
	}
	if err != nil {
		return nil, nil, used.cause(err)
	}
	if !used.headArrived() {
		_ = used.Close() // the connection is discarded
		_ = response.Body.Close()
		return nil, nil, ErrMalformed.New("the answer began before its request was sent")
	}
	return response, used.conn, nil
}
