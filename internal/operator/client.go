package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/config"
)

// Errors of the operators' client.
var (
	Errors = errorx.NewNamespace("operator")
	// ErrUnreachable means that there was no complete answer; a change may have been
	// accepted.
	ErrUnreachable = Errors.NewType("unreachable")
	// ErrNotSent means that no process listens on the entry's address; nothing was changed.
	ErrNotSent = Errors.NewType("not_sent")
	// ErrRefused means that the entry refused the call; RefusalOf returns the reason.
	ErrRefused = Errors.NewType("refused")

	propRefusal = errorx.RegisterProperty("refusal")
)

// maxAnswerSize bounds an answer, in bytes.
const maxAnswerSize = 4 << 20

// RefusalOf returns the refusal that an ErrRefused carries.
func RefusalOf(err error) (Refusal, bool) {
	cast := errorx.Cast(err)
	if cast == nil {
		return Refusal{}, false
	}
	value, _ := cast.Property(propRefusal)
	refusal, ok := value.(Refusal)
	return refusal, ok
}

// Client calls an entry's operators' interface.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for an entry given as host:port or as an http URL.
func NewClient(entry string, client *http.Client) *Client {
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	return &Client{base: strings.TrimSuffix(entry, "/"), http: client}
}

// Classes returns the document in force at the entry.
func (c *Client) Classes(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, PathClasses, nil, &state)
	return state, err
}

// Apply applies a change to the class document.
func (c *Client) Apply(ctx context.Context, change Change) (Accepted, error) {
	var accepted Accepted
	err := c.call(ctx, http.MethodPut, PathClasses, change, &accepted)
	return accepted, err
}

// History returns the latest changes, oldest first.
func (c *Client) History(ctx context.Context) ([]config.Entry, error) {
	var history []config.Entry
	err := c.call(ctx, http.MethodGet, PathHistory, nil, &history)
	return history, err
}

// Report returns the entry's report as plain text.
func (c *Client) Report(ctx context.Context) (string, error) {
	body, err := c.exchange(ctx, http.MethodGet, PathReport, nil)
	return string(body), err
}

// AccountReport returns the report on one client account as plain text.
func (c *Client) AccountReport(ctx context.Context, account string) (string, error) {
	query := url.Values{QueryAccount: {account}}
	body, err := c.exchange(ctx, http.MethodGet, PathReport+"?"+query.Encode(), nil)
	return string(body), err
}

func (c *Client) call(ctx context.Context, method, path string, send, receive any) error {
	var body []byte
	if send != nil {
		encoded, err := json.Marshal(send)
		if err != nil {
			return err
		}
		body = encoded
	}
	answer, err := c.exchange(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, receive); err != nil {
		return ErrUnreachable.Wrap(err, "the entry's answer cannot be read")
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := c.http.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNotSent.Wrap(err, "no process listens on the entry's address")
	}
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "the entry did not answer")
	}
	defer func() { _ = answer.Body.Close() }()
	received, err := io.ReadAll(http.MaxBytesReader(nil, answer.Body, maxAnswerSize))
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "the entry's answer is truncated or too long")
	}
	if answer.StatusCode != http.StatusOK {
		return nil, refusedBy(answer.StatusCode, received)
	}
	return received, nil
}

func refusedBy(status int, body []byte) error {
	var refusal Refusal
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Reason == "" {
		refusal.Reason = strings.TrimSpace(string(body))
	}
	return ErrRefused.New("status %d: %s", status, refusal.Reason).WithProperty(propRefusal, refusal)
}
