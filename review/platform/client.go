package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client is a client with channels of its own. net/http's own repeating of requests is
// switched off: each attempt uses a new channel.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose channels are closed after each attempt.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// Outcome is what a client got for one attempt.
type Outcome struct {
	// Status is zero if the channel ended without a complete answer.
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Promise reports whether the status promises that the request has not run.
func (o Outcome) Promise() bool {
	switch o.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Send makes one attempt and waits for the whole answer.
func (c *Client) Send(method, front, host, path, id, body string, deadline time.Duration) Outcome {
	return c.SendWith(method, front, host, path, id, body, deadline, nil)
}

// SendWith is Send with further headers.
func (c *Client) SendWith(method, front, host, path, id, body string, deadline time.Duration, header map[string]string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, content)
	if err != nil {
		return Outcome{Err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Outcome{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content2, err := io.ReadAll(response.Body)
	if err != nil {
		return Outcome{Err: err, Body: string(content2)}
	}
	return Outcome{Status: response.StatusCode, Header: response.Header, Body: string(content2)}
}
