package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// controlTimeout bounds one call of a control interface.
const controlTimeout = 10 * time.Second

// Control is an HTTP client of a stand-in's control interface.
type Control struct {
	// Address is the host:port of the interface.
	Address string
}

// Get requests a path and decodes the JSON response into reply.
func (c Control) Get(path string, reply any) error {
	return c.call(http.MethodGet, path, nil, reply)
}

// Put sends body as JSON to a path.
func (c Control) Put(path string, body any) error {
	return c.call(http.MethodPut, path, body, nil)
}

// Post sends body as JSON to a path.
func (c Control) Post(path string, body any) error {
	return c.call(http.MethodPost, path, body, nil)
}

// Delete sends a DELETE request for a path.
func (c Control) Delete(path string) error {
	return c.call(http.MethodDelete, path, nil, nil)
}

func (c Control) call(method, path string, body, reply any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, text)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}
