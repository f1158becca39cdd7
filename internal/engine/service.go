package engine

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/intake"
)

// maxServiceAnswer bounds the buffered answer of a plain service, in bytes.
const maxServiceAnswer = 8 << 20

// ServiceCall describes one attempt at a call of a plain service.
type ServiceCall struct {
	Address   string // host:port
	RequestID string
	Method    string
	Path      string // including the query
	Header    http.Header
	Body      []byte
	// StallTimeout bounds a repeatable call, which fails with ErrStalled after it; zero
	// means no limit.
	StallTimeout time.Duration
}

// ServiceAnswer is a complete answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServiceClient calls plain services. It uses a separate transport for calls that must
// not be repeated.
type ServiceClient struct {
	repeatable *http.Client
	singleUse  *http.Client
}

// NewServiceClient returns a client that uses one transport for repeatable calls and the
// other for calls that must not be repeated.
func NewServiceClient(repeatable, singleUse http.RoundTripper) *ServiceClient {
	return &ServiceClient{
		repeatable: &http.Client{Transport: repeatable, CheckRedirect: returnRedirect},
		singleUse:  &http.Client{Transport: singleUse, CheckRedirect: returnRedirect},
	}
}

// returnRedirect returns redirects to the caller, since following one would run the request
// a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do makes the call. It returns any complete answer, whatever its status, with these
// exceptions: it fails if the answer reports that the request did not run, belongs to another
// request or exceeds maxServiceAnswer, and a repeatable call fails with ErrFailed on a status
// of 500 or more.
func (c *ServiceClient) Do(ctx context.Context, call ServiceCall, repeatable bool) (*ServiceAnswer, error) {
	if repeatable && call.StallTimeout > 0 {
		bounded, cancel := context.WithTimeoutCause(ctx, call.StallTimeout, errStalled)
		defer cancel()
		ctx = bounded
	}
	var sent sendTracker
	request, err := http.NewRequestWithContext(sent.trace(ctx), call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "malformed call")
	}
	request.Header = call.Header.Clone()
	request.Header.Set(HeaderRequestID, call.RequestID)
	answer, err := c.client(repeatable).Do(request)
	if err != nil {
		return nil, sent.classify(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if err := checkServiceAnswer(answer, call.RequestID, repeatable); err != nil {
		return nil, err
	}
	body, err := intake.ReadAnswer(ctx, answer.Body, answer.ContentLength, maxServiceAnswer)
	switch {
	case errorx.IsOfType(err, intake.ErrTooLarge):
		return nil, ErrFailed.New("answer larger than %d bytes", maxServiceAnswer)
	case errorx.IsOfType(err, intake.ErrShort):
		return nil, ErrFailed.Wrap(err, "the answer was not read")
	case err != nil:
		return nil, sent.classify(ctx, err)
	}
	return &ServiceAnswer{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}

func (c *ServiceClient) client(repeatable bool) *http.Client {
	if repeatable {
		return c.repeatable
	}
	return c.singleUse
}

func checkServiceAnswer(answer *http.Response, requestID string, repeatable bool) error {
	if answer.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return classifyStatus(answer)
	}
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != requestID {
		return ErrForeign.New("answer to request %q", echoed)
	}
	if repeatable && answer.StatusCode >= http.StatusInternalServerError {
		return classifyStatus(answer)
	}
	return nil
}
