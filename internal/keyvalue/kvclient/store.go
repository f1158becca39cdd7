package kvclient

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

type none struct{}

// Get implements keyvalue.Store.
func (c *Client) Get(ctx context.Context, key string) (keyvalue.Value, error) {
	var reply Value
	_, err := c.do(ctx, c.read(PathGet, KeyRequest{Key: key}, &reply))
	return keyvalue.Value(reply), err
}

// List implements keyvalue.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]keyvalue.Value, int64, error) {
	var reply ListReply
	if _, err := c.do(ctx, c.read(PathList, ListRequest{Prefix: prefix}, &reply)); err != nil {
		return nil, 0, err
	}
	values := make([]keyvalue.Value, 0, len(reply.Values))
	for _, value := range reply.Values {
		values = append(values, keyvalue.Value(value))
	}
	return values, reply.Revision, nil
}

// CompareAndSwap implements keyvalue.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect int64, data []byte, lease keyvalue.LeaseID) (keyvalue.Value, error) {
	var reply Value
	request := SwapRequest{Key: key, Expect: expect, Data: data, Lease: lease}
	failure, err := c.do(ctx, c.write(PathSwap, request, &reply))
	if err == nil {
		return keyvalue.Value(reply), nil
	}
	if failure.Current != nil {
		return keyvalue.Value(*failure.Current), err
	}
	return keyvalue.Value{}, err
}

// Delete implements keyvalue.Store. ErrNotFound when the key does not exist,
// ErrConflict when it has another revision.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	_, err := c.do(ctx, c.write(PathDelete, DeleteRequest{Key: key, Expect: expect}, &none{}))
	return err
}

// Grant implements keyvalue.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
	var reply LeaseReply
	_, err := c.do(ctx, c.write(PathGrant, GrantRequest{TTLMillis: ttl.Milliseconds()}, &reply))
	return reply.Lease, err
}

// KeepAlive implements keyvalue.Store.
func (c *Client) KeepAlive(ctx context.Context, lease keyvalue.LeaseID) error {
	_, err := c.do(ctx, c.write(PathKeepAlive, LeaseRequest{Lease: lease}, &none{}))
	return err
}

// Revoke implements keyvalue.Store.
func (c *Client) Revoke(ctx context.Context, lease keyvalue.LeaseID) error {
	_, err := c.do(ctx, c.write(PathRevoke, LeaseRequest{Lease: lease}, &none{}))
	return err
}

// Watch implements keyvalue.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) ([]keyvalue.Change, int64, error) {
	var reply WatchReply
	request := WatchRequest{Prefix: prefix, From: from, WaitMillis: wait.Milliseconds()}
	watch := c.read(PathWatch, request, &reply)
	watch.timeout += wait
	if _, err := c.do(ctx, watch); err != nil {
		return nil, from, err
	}
	changes := make([]keyvalue.Change, 0, len(reply.Changes))
	for _, change := range reply.Changes {
		changes = append(changes, keyvalue.Change{Value: keyvalue.Value(change.Value), Deleted: change.Deleted})
	}
	return changes, reply.Revision, nil
}

func (c *Client) read(path string, body, reply any) call {
	return call{path: path, effect: read, timeout: c.options.Timeout, body: body, reply: reply}
}

func (c *Client) write(path string, body, reply any) call {
	return call{path: path, effect: write, timeout: c.options.Timeout, body: body, reply: reply}
}
