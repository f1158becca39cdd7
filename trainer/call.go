package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// maxAnswerBytes bounds an answer; a service in trouble may send bytes without end.
const maxAnswerBytes = 256 << 20

// call makes one HTTP call and returns the body of a response with status 200.
func (c *Client) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Wait+callMargin)
	defer cancel()
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, ErrRejected.Wrap(err, "the request cannot be built")
	}
	resp, err := c.options.HTTPClient.Do(req)
	if err != nil {
		return nil, errRetry.Wrap(err, "no response")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errRetry.Wrap(err, "the response ended early")
	}
	if resp.StatusCode == http.StatusOK {
		return answer, nil
	}
	return nil, errorFor(resp.StatusCode, answer)
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.options.URL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	setHeader(req, request.HeaderClass, c.options.Class)
	setHeader(req, request.HeaderTenant, c.options.Tenant)
	return req, nil
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// errorFor maps an error response to the error type that decides how the client
// proceeds.
func errorFor(status int, body []byte) error {
	var problem wire.Problem
	_ = json.Unmarshal(body, &problem) // without a problem document, the status alone decides
	switch problem.Type {
	case wire.ProblemUnknownStep:
		return errUnknownStep.New("%s", problem.Detail)
	case wire.ProblemSuperseded, wire.ProblemExpired:
		return errNextPull.New("%s", problem.Detail).WithProperty(propLastPull, problem.LastPull)
	case wire.ProblemConflict:
		return ErrConflict.New("%s", problem.Detail)
	case wire.ProblemDeadline:
		return ErrDeadline.New("%s", problem.Detail)
	case wire.ProblemNotOwner:
		return retryAfter(problem)
	}
	if status == http.StatusConflict {
		return ErrSuperseded.New("%s", problem.Detail)
	}
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
		return ErrRejected.New("status %d: %s", status, problem.Detail)
	}
	return retryAfter(problem)
}

func retryAfter(problem wire.Problem) error {
	wait := time.Duration(problem.RetryAfterMillis) * time.Millisecond
	return errRetry.New("%s", problem.Detail).WithProperty(propRetryAfter, wait)
}

// retryAfterOf returns the retry delay that the response requested, or zero.
func retryAfterOf(err error) time.Duration {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0
	}
	value, _ := cast.Property(propRetryAfter)
	wait, _ := value.(time.Duration)
	return wait
}

// lastPullOf returns the highest pull number that the owner has seen, or zero.
func lastPullOf(err error) int64 {
	cast := errorx.Cast(err)
	if cast == nil {
		return 0
	}
	value, _ := cast.Property(propLastPull)
	last, _ := value.(int64)
	return last
}
