// Package listclient is the client of the platform's instance list, which is one HTTP
// GET with a JSON response. A request carries the cursor of the previous response, so
// that the server can return only what has changed since; a server that does not
// support cursors returns the whole list each time.
package listclient

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/strict"
)

// PathInstances is the URL path of the instance list.
const PathInstances = "/v1/instances"

// HeaderClientID is the header that identifies the client to the server.
const HeaderClientID = "X-Client-Id"

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 2 * time.Second

const maxReplyBytes = 64 << 20

// ParameterSince is the query parameter with the cursor of the previous response.
const ParameterSince = "since"

// Reply is the body of a response.
type Reply struct {
	// Instances is the whole list or, if Partial is set, the instances that were added
	// or changed.
	Instances []keyvalue.Instance `json:"instances"`
	// Cursor is an opaque position for the next request. It is empty if the server does
	// not support cursors.
	Cursor string `json:"cursor,omitempty"`
	// Partial is set if the response contains only what changed since the request's
	// cursor.
	Partial bool `json:"partial,omitempty"`
	// Removed contains the IDs of removed instances. It is used only if Partial is set.
	Removed []string `json:"removed,omitempty"`
}

// Options configures a Client. Address is required.
type Options struct {
	// Address is the server's host:port.
	Address string
	// ClientID identifies this process to the server.
	ClientID string
	// Timeout limits one call; zero means DefaultTimeout.
	Timeout time.Duration
	// Transport replaces the default transport in tests.
	Transport http.RoundTripper
}

// Client is a keyvalue.InstanceList over HTTP.
type Client struct {
	options Options
	http    *http.Client

	mu     sync.Mutex
	cursor string
	known  map[string]keyvalue.Instance
	// sorted contains the known instances in order of ID. Callers share the slice, so
	// it is replaced and never modified.
	sorted []keyvalue.Instance
}

var _ keyvalue.InstanceList = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Transport == nil {
		options.Transport = strict.NewTransport(&http.Transport{})
	}
	return &Client{options: options, http: &http.Client{Transport: options.Transport, Timeout: options.Timeout}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Instances returns the instance list in order of ID. Callers must not modify the slice.
// All errors are keyvalue.ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]keyvalue.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	c.apply(reply)
	return c.sorted, nil
}

// apply updates the known instances from a response.
func (c *Client) apply(reply *Reply) {
	c.cursor = reply.Cursor
	if reply.Partial && len(reply.Instances) == 0 && len(reply.Removed) == 0 {
		return
	}
	if !reply.Partial {
		c.known = make(map[string]keyvalue.Instance, len(reply.Instances))
	}
	for _, instance := range reply.Instances {
		c.known[instance.ID] = instance
	}
	for _, id := range reply.Removed {
		delete(c.known, id)
	}
	c.sorted = slices.SortedFunc(maps.Values(c.known), func(a, b keyvalue.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

func (c *Client) url() string {
	target := "http://" + c.options.Address + PathInstances
	if c.cursor == "" {
		return target
	}
	return target + "?" + url.Values{ParameterSince: {c.cursor}}.Encode()
}

func (c *Client) read(ctx context.Context) (*Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(), nil)
	if err != nil {
		return nil, keyvalue.ErrUnavailable.Wrap(err, "create the request for the instance list")
	}
	req.Header.Set(HeaderClientID, c.options.ClientID)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, keyvalue.ErrUnavailable.Wrap(err, "read the instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, keyvalue.ErrUnavailable.New("the instance list returned status %d", resp.StatusCode)
	}
	content, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReplyBytes))
	if err != nil {
		return nil, keyvalue.ErrUnavailable.Wrap(err, "the instance list is truncated or too long")
	}
	var reply Reply
	if err := json.Unmarshal(content, &reply); err != nil {
		return nil, keyvalue.ErrUnavailable.Wrap(err, "decode the instance list")
	}
	if reply.Partial && c.cursor == "" {
		return nil, keyvalue.ErrUnavailable.New("the instance list returned a partial response to a request without a cursor")
	}
	return &reply, nil
}
