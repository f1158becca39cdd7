package dispatch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/queue"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Errors of the dispatch layer that do not leave it but by ErrHeldBack.
var Errors = errorx.NewNamespace("dispatch")

// noEndpointRetryAfter is when a caller should come back who found no endpoint.
const noEndpointRetryAfter = time.Second

func errNoneServes(serves string) error {
	err := request.ErrNoEndpoint.New("no endpoint serves %q", serves)
	return request.WithRetryAfter(err, noEndpointRetryAfter)
}

func errNoneReady(serves string) error {
	err := request.ErrNoEndpoint.New("no endpoint of %q can take the request now", serves)
	return request.WithRetryAfter(err, noEndpointRetryAfter)
}

func errGone(ctx context.Context) error {
	return request.ErrRefused.Wrap(context.Cause(ctx), "given up before it was sent")
}

// fromQueue turns an error of admission into one of the request layer.
func fromQueue(err error) error {
	refused := request.ErrRefused.Wrap(err, "not admitted")
	if after, told := queue.RetryAfter(err); told {
		return request.WithRetryAfter(refused, after)
	}
	return refused
}

// final turns the last error of a call into one of the request layer. ran tells
// whether any attempt may have run.
func final(err error, ran bool) error {
	switch {
	case verdictOf(err) == verdictRejected:
		return request.ErrInvalid.Wrap(err, "the endpoint rejected it")
	case ran:
		return request.ErrUnknown.Wrap(err, "it may have run")
	case isRequestError(err):
		return err
	default:
		return request.ErrNoEndpoint.Wrap(err, "no endpoint ran it")
	}
}

func isRequestError(err error) bool {
	cast := errorx.Cast(err)
	return cast != nil && cast.Type().RootNamespace().FullName() == request.Errors.FullName()
}
