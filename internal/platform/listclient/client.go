// Package listclient is the adapter to the platform's instance list: one HTTP
// GET that answers JSON.
package listclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/platform"
)

// PathInstances is the path of the list.
const PathInstances = "/v1/instances"

// HeaderClientID names the client to the list.
const HeaderClientID = "X-Client-Id"

// DefaultTimeout bounds one call.
const DefaultTimeout = 2 * time.Second

const maxReplyBytes = 64 << 20

// Reply is the body of the list.
type Reply struct {
	Instances []platform.Instance `json:"instances"`
}

// Options of a Client. Address is required.
type Options struct {
	// Address is the list's host:port.
	Address string
	// ClientID names this process to the list.
	ClientID string
	// Timeout bounds one call; DefaultTimeout if zero.
	Timeout time.Duration
	// Transport replaces the client's own; for tests.
	Transport http.RoundTripper
}

// Client is a platform.InstanceList over HTTP.
type Client struct {
	options Options
	http    *http.Client
}

var _ platform.InstanceList = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{}
	}
	return &Client{options: options, http: &http.Client{Transport: options.Transport, Timeout: options.Timeout}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Instances reads the list. All failures are platform.ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Address+PathInstances, nil)
	if err != nil {
		return nil, platform.ErrUnavailable.Wrap(err, "address")
	}
	req.Header.Set(HeaderClientID, c.options.ClientID)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, platform.ErrUnavailable.Wrap(err, "read the instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, platform.ErrUnavailable.New("instance list answered %d", resp.StatusCode)
	}
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return nil, platform.ErrUnavailable.Wrap(err, "decode the instance list")
	}
	return reply.Instances, nil
}
