package dispatch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/queue"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Errors is the namespace of the errors of this package. Only ErrDeferred is exported.
var Errors = errorx.NewNamespace("dispatch")

// noEndpointRetryAfter is the retry delay reported to a caller whose request found no
// endpoint.
const noEndpointRetryAfter = time.Second

func errNotServed(serves string) error {
	err := request.ErrNoEndpoint.New("no endpoint serves %q", serves)
	return request.WithRetryAfter(err, noEndpointRetryAfter)
}

func errNoneEligible(serves string) error {
	err := request.ErrNoEndpoint.New("no endpoint of %q is available for the request now", serves)
	return request.WithRetryAfter(err, noEndpointRetryAfter)
}

func errCanceledUnsent(ctx context.Context) error {
	return request.ErrRefused.Wrap(context.Cause(ctx), "the request was canceled before it was sent")
}

// fromQueueError converts an admission error to an error of the request layer.
func fromQueueError(err error) error {
	refused := request.ErrRefused.Wrap(err, "not admitted")
	if delay, found := queue.RetryAfter(err); found {
		return request.WithRetryAfter(refused, delay)
	}
	return refused
}

// finalError converts the last error of a request to an error of the request layer.
// mayHaveRun states whether any attempt may have run.
func finalError(err error, mayHaveRun bool) error {
	switch {
	case outcomeOf(err) == outcomeRejected:
		return request.ErrInvalid.Wrap(err, "the endpoint rejected the request")
	case mayHaveRun:
		return request.ErrUnknown.Wrap(err, "the request may have run")
	case isRequestError(err):
		return err
	default:
		return request.ErrNoEndpoint.Wrap(err, "no endpoint ran the request")
	}
}

func isRequestError(err error) bool {
	cast := errorx.Cast(err)
	return cast != nil && cast.Type().RootNamespace().FullName() == request.Errors.FullName()
}
