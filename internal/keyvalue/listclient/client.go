// Package listclient is the adapter to the platform's instance list: one HTTP
// GET that answers JSON. A call names the cursor of the reply before, so that
// the list need only tell what changed since; a list that knows no cursors
// answers whole each time.
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
)

// PathInstances is the path of the list.
const PathInstances = "/v1/instances"

// HeaderClientID names the client to the list.
const HeaderClientID = "X-Client-Id"

// DefaultTimeout bounds one call.
const DefaultTimeout = 2 * time.Second

const maxReplyBytes = 64 << 20

// ParameterSince is the query parameter that names the cursor of the last reply.
const ParameterSince = "since"

// Reply is the body of the list.
type Reply struct {
	// Instances is the whole list or, with Partial, those that were added or
	// changed.
	Instances []keyvalue.Instance `json:"instances"`
	// Cursor is opaque; empty when the list knows none.
	Cursor string `json:"cursor,omitempty"`
	// Partial: the reply tells only what changed since the cursor of the call.
	Partial bool `json:"partial,omitempty"`
	// Removed lists the IDs that were removed, with Partial.
	Removed []string `json:"removed,omitempty"`
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

// Client is a keyvalue.InstanceList over HTTP.
type Client struct {
	options Options
	http    *http.Client

	mu     sync.Mutex
	cursor string
	known  map[string]keyvalue.Instance
	// all are the known ones in order of ID; it is never changed.
	all []keyvalue.Instance
}

var _ keyvalue.InstanceList = (*Client)(nil)

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

// Instances reads the list, in order of ID; the slice must not be changed. All
// failures are keyvalue.ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]keyvalue.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	c.apply(reply)
	return c.all, nil
}

// apply takes a reply into what is known.
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
	c.all = slices.SortedFunc(maps.Values(c.known), func(a, b keyvalue.Instance) int { return cmp.Compare(a.ID, b.ID) })
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
		return nil, keyvalue.ErrUnavailable.Wrap(err, "address")
	}
	req.Header.Set(HeaderClientID, c.options.ClientID)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, keyvalue.ErrUnavailable.Wrap(err, "read the instance list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, keyvalue.ErrUnavailable.New("instance list answered %d", resp.StatusCode)
	}
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return nil, keyvalue.ErrUnavailable.Wrap(err, "decode the instance list")
	}
	if reply.Partial && c.cursor == "" {
		return nil, keyvalue.ErrUnavailable.New("instance list answered a part to a call for the whole")
	}
	return &reply, nil
}
