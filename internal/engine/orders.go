package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// maxStateSize bounds the answer to an order, in bytes.
const maxStateSize = 64 << 10

// Errors of weight orders.
var (
	// ErrFenced means that the engine has seen a higher fencing number.
	ErrFenced = Errors.NewType("fenced")
	// ErrOrderFailed means that the order was refused, that it failed, or that its answer
	// was lost; the engine's state shows which.
	ErrOrderFailed = Errors.NewType("order_failed")
)

// OrderClient sends weight orders to engines over HTTP.
type OrderClient struct{ http *http.Client }

// NewOrderClient returns a client that uses the given transport.
func NewOrderClient(transport http.RoundTripper) *OrderClient {
	return &OrderClient{http: &http.Client{Transport: transport}}
}

// Stage orders the engine at address, a host:port pair, to stage a version.
func (c *OrderClient) Stage(ctx context.Context, address string, order WeightOrder) (WeightState, error) {
	return c.order(ctx, "http://"+address+PathStage, order)
}

// Activate orders the engine at address, a host:port pair, to serve a staged version.
func (c *OrderClient) Activate(ctx context.Context, address string, order WeightOrder) (WeightState, error) {
	return c.order(ctx, "http://"+address+PathActivate, order)
}

// State reads the weight state of the engine at address, a host:port pair.
func (c *OrderClient) State(ctx context.Context, address string) (WeightState, error) {
	return c.call(ctx, http.MethodGet, "http://"+address+PathWeights, nil)
}

func (c *OrderClient) order(ctx context.Context, url string, order WeightOrder) (WeightState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return WeightState{}, ErrOrderFailed.Wrap(err, "encode the order")
	}
	return c.call(ctx, http.MethodPost, url, body)
}

func (c *OrderClient) call(ctx context.Context, method, url string, body []byte) (WeightState, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return WeightState{}, ErrOrderFailed.Wrap(err, "malformed address")
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(request)
	if err != nil {
		return WeightState{}, ErrOrderFailed.Wrap(err, "no response")
	}
	defer func() { _ = answer.Body.Close() }()
	return readState(answer)
}

func readState(answer *http.Response) (WeightState, error) {
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusPreconditionFailed:
		return WeightState{}, ErrFenced.New("the engine has seen a higher fencing number")
	default:
		return WeightState{}, ErrOrderFailed.New("status %d", answer.StatusCode)
	}
	content, err := io.ReadAll(http.MaxBytesReader(nil, answer.Body, maxStateSize))
	if err != nil {
		return WeightState{}, ErrOrderFailed.Wrap(err, "the state is truncated or too long")
	}
	var state WeightState
	if err := json.Unmarshal(content, &state); err != nil {
		return WeightState{}, ErrOrderFailed.Wrap(err, "malformed state")
	}
	return state, nil
}
