// Package kvclient is the adapter to the platform's key-value service: JSON
// over HTTP as stated in its protocol types.
//
// Errors tell what happened to a write. ErrUnavailable: it did not take effect,
// since it was never sent or the service refused it cleanly. ErrOutcomeUnknown:
// it was sent and no reply came. A read that fails is always ErrUnavailable.
package kvclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// Defaults of Options.
const (
	DefaultTimeout     = 2 * time.Second
	defaultConnections = 16
	defaultIdleTimeout = 30 * time.Second
	maxReplyBytes      = 64 << 20
)

// Options of a Client. Address is required.
type Options struct {
	// Address is the service's host:port.
	Address string
	// ClientID names this process to the service.
	ClientID string
	// Timeout bounds one call, and a watch beyond its wait; DefaultTimeout if zero.
	Timeout time.Duration
	// Transport replaces the client's own; for tests.
	Transport http.RoundTripper
}

// Client is a keyvalue.Store over HTTP. It repeats no call by itself.
type Client struct {
	options Options
	http    *http.Client
}

var _ keyvalue.Store = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{
			MaxIdleConnsPerHost: defaultConnections,
			IdleConnTimeout:     defaultIdleTimeout,
			DisableCompression:  true,
		}
	}
	return &Client{options: options, http: &http.Client{Transport: options.Transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// effect says whether a call changes the store.
type effect bool

const (
	read  effect = false
	write effect = true
)

// call is one call in the making.
type call struct {
	path    string
	effect  effect
	timeout time.Duration
	body    any
	reply   any
}

func (c *Client) do(ctx context.Context, call call) (Failure, error) {
	encoded, err := json.Marshal(call.body)
	if err != nil {
		return Failure{}, keyvalue.ErrUnavailable.Wrap(err, "encode")
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+c.options.Address+call.path, bytes.NewReader(encoded))
	if err != nil {
		return Failure{}, keyvalue.ErrUnavailable.Wrap(err, "address")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderClientID, c.options.ClientID)
	resp, err := c.http.Do(req)
	if err != nil {
		return Failure{}, lost(call.effect, sent.Load(), err)
	}
	defer resp.Body.Close()
	return readReply(resp, call)
}

// lost returns the error of a call that got no whole reply.
func lost(effect effect, sent bool, err error) error {
	if effect == write && sent {
		return keyvalue.ErrOutcomeUnknown.Wrap(err, "no reply to a write")
	}
	return keyvalue.ErrUnavailable.Wrap(err, "call failed")
}

func readReply(resp *http.Response, call call) (Failure, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return Failure{}, lost(call.effect, true, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(body, call.reply); err != nil {
			return Failure{}, lost(call.effect, true, err)
		}
		return Failure{}, nil
	}
	return failureOf(resp.StatusCode, body, call.effect)
}

func failureOf(status int, body []byte, effect effect) (Failure, error) {
	var failure Failure
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return failure, keyvalue.ErrUnavailable.New("service answered %d", status)
	}
	if err := json.Unmarshal(body, &failure); err != nil {
		return failure, lost(effect, true, err)
	}
	switch failure.Code {
	case CodeNotFound:
		return failure, keyvalue.ErrNotFound.New("%s", failure.Detail)
	case CodeConflict:
		return failure, keyvalue.ErrConflict.New("%s", failure.Detail)
	case CodeLeaseLapsed:
		return failure, keyvalue.ErrLeaseLapsed.New("%s", failure.Detail)
	case CodeCompacted:
		return failure, keyvalue.ErrCompacted.New("%s", failure.Detail)
	case CodeTooLarge, CodeInvalid:
		return failure, keyvalue.ErrUnavailable.New("service refused the call as %s: %s", failure.Code, failure.Detail)
	}
	return failure, lost(effect, true, keyvalue.ErrUnavailable.New("service answered %d", status))
}
