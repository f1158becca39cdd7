package traffic

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// HeaderReplayed is the header that, with the value true, marks an answer as the stored
// answer of an earlier request with the same key.
const HeaderReplayed = "Idempotency-Replayed"

const (
	// settleTimeout bounds the attempt to record the end of a keyed request.
	settleTimeout = 5 * time.Second
	// runningRetryAfter is the retry delay reported while the first request with the same
	// key is still running.
	runningRetryAfter = time.Second
)

// reply is a complete answer.
type reply struct {
	status      int
	contentType string
	header      http.Header
	body        []byte
	replayed    bool
}

// work runs a request and returns its complete answer or an error of the request layer.
type work func(ctx context.Context) (*reply, dispatch.Effort, error)

// keyedWork is work that runs at most once per key.
type keyedWork struct {
	// scope is the application or model within which the key identifies a request.
	scope string
	// content must be identical whenever the key is reused.
	content []byte
	run     work
	// release is called instead of run if the work may not run. It may be nil.
	release func()
}

// runKeyed runs work at most once per key. Once the claim is granted, the work continues
// even if its caller disconnects, so that a retry can receive the answer.
func (s *Server) runKeyed(ctx context.Context, c *caller, k keyedWork) (*reply, dispatch.Effort, error) {
	grant, err := s.options.Claimer.Claim(ctx, claim.Request{
		Key:         claim.KeyOf(c.tenant, k.scope, c.key),
		Fingerprint: claim.FingerprintOf(k.content),
		Claimant:    dispatch.NewID(),
	})
	if k.release != nil && (err != nil || grant.Verdict != claim.Granted) {
		k.release()
	}
	if err != nil {
		refused := request.ErrRefused.Wrap(err, "the key could not be claimed")
		return nil, dispatch.Effort{}, request.WithRetryAfter(refused, runningRetryAfter)
	}
	if grant.Verdict != claim.Granted {
		earlier, err := priorReply(grant)
		return earlier, dispatch.Effort{}, err
	}
	return s.runGranted(ctx, c, grant, k.run)
}

// priorReply answers a retry according to the state of the first request with its key.
func priorReply(grant claim.Grant) (*reply, error) {
	if grant.Verdict == claim.Mismatch {
		return nil, request.ErrInvalid.New("%s was already used with another body; this request did not run", request.HeaderIdempotencyKey)
	}
	if answer := grant.Prior.Answer; grant.Prior.State == claim.Answered && answer != nil {
		return &reply{status: answer.Status, contentType: answer.ContentType, body: answer.Body, replayed: true}, nil
	}
	switch grant.Prior.State {
	case claim.Answered:
		return nil, request.ErrDuplicate.New("the first request with this key ran and was answered; its answer is no longer stored")
	case claim.Running:
		err := request.ErrDuplicate.New("the first request with this key may still be running")
		return nil, request.WithRetryAfter(err, runningRetryAfter)
	default:
		return nil, request.ErrDuplicate.New("it is unknown whether the first request with this key ran")
	}
}

// workResult is the result of a granted request.
type workResult struct {
	reply  *reply
	effort dispatch.Effort
	err    error
}

func (s *Server) runGranted(ctx context.Context, c *caller, grant claim.Grant, run work) (*reply, dispatch.Effort, error) {
	detachedCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.RequestTimeout)
	done := make(chan workResult, 1)
	hold := intake.HoldOf(ctx)
	hold.Retain() // the work may outlast its caller
	s.detached.Go(func() {
		defer hold.Release()
		defer cancel()
		answer, effort, err := run(detachedCtx)
		s.settle(detachedCtx, c, grant, answer, err)
		done <- workResult{reply: answer, effort: effort, err: err}
	})
	select {
	case result := <-done:
		return result.reply, result.effort, result.err
	case <-ctx.Done():
		return nil, dispatch.Effort{}, request.ErrUnknown.Wrap(ctx.Err(), "the caller disconnected; the request continues")
	}
}

// settle records the end of a granted request before its caller is answered.
func (s *Server) settle(ctx context.Context, c *caller, grant claim.Grant, answer *reply, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := s.options.Claimer.Settle(ctx, grant, endingOf(answer, err)); err != nil {
		event.SettleFailed.Log(ctx, s.logger, slog.String("request", c.requestID), slog.String("cause", err.Error()))
	}
}

func endingOf(answer *reply, err error) claim.Ending {
	switch {
	case err == nil:
		stored := &claim.Answer{Status: answer.status, ContentType: answer.contentType, Body: answer.body}
		return claim.Ending{State: claim.Answered, Answer: stored}
	case request.ProblemOf(err).Outcome == request.NotRun && !errorx.IsOfType(err, request.ErrDuplicate):
		return claim.Ending{State: claim.NotRun}
	default:
		return claim.Ending{State: claim.Unknown}
	}
}
