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
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// HeaderReplayed, with the value true, marks an answer that is the stored one
// of an earlier request with the same key.
const HeaderReplayed = "Idempotency-Replayed"

const (
	// settleTimeout bounds the attempt to record how a keyed request ended.
	settleTimeout = 5 * time.Second
	// runningRetryAfter is when to repeat a request whose first still runs.
	runningRetryAfter = time.Second
)

// reply is a whole answer.
type reply struct {
	status      int
	contentType string
	header      http.Header
	body        []byte
	replayed    bool
}

// work runs a request and returns its whole answer or an error of the request
// layer.
type work func(ctx context.Context) (*reply, dispatch.Effort, error)

// keyed is work that runs at most once per key.
type keyed struct {
	// scope is the application or model within which the key counts.
	scope string
	// content must be the same when the key is used again.
	content []byte
	run     work
	// drop is called instead of run when the work may not run; nil is allowed.
	drop func()
}

// runKeyed runs work at most once per key. Once the claim is granted, the work
// goes on when its caller leaves, so that a repeat can be given the answer.
func (s *Server) runKeyed(ctx context.Context, c *caller, k keyed) (*reply, dispatch.Effort, error) {
	grant, err := s.options.Claimer.Claim(ctx, claim.Request{
		Key:         claim.KeyOf(c.tenant, k.scope, c.key),
		Fingerprint: claim.FingerprintOf(k.content),
		Claimant:    dispatch.NewID(),
	})
	if k.drop != nil && (err != nil || grant.Verdict != claim.Granted) {
		k.drop()
	}
	if err != nil {
		refused := request.ErrRefused.Wrap(err, "the key could not be claimed")
		return nil, dispatch.Effort{}, request.WithRetryAfter(refused, runningRetryAfter)
	}
	if grant.Verdict != claim.Granted {
		earlier, err := earlierReply(grant)
		return earlier, dispatch.Effort{}, err
	}
	return s.runGranted(ctx, c, grant, k.run)
}

// earlierReply tells a repeat how the first request with its key ended.
func earlierReply(grant claim.Grant) (*reply, error) {
	if grant.Verdict == claim.Mismatch {
		return nil, request.ErrInvalid.New("%s was used with another body; this one did not run", request.HeaderIdempotencyKey)
	}
	if answer := grant.Prior.Answer; grant.Prior.State == claim.Answered && answer != nil {
		return &reply{status: answer.Status, contentType: answer.ContentType, body: answer.Body, replayed: true}, nil
	}
	switch grant.Prior.State {
	case claim.Answered:
		return nil, request.ErrDuplicate.New("the first request with this key ran and was answered; its answer is not held any more")
	case claim.Running:
		err := request.ErrDuplicate.New("the first request with this key may still run")
		return nil, request.WithRetryAfter(err, runningRetryAfter)
	default:
		return nil, request.ErrDuplicate.New("whether the first request with this key ran is not known")
	}
}

// outcome is what a granted request came to.
type outcome struct {
	reply  *reply
	effort dispatch.Effort
	err    error
}

func (s *Server) runGranted(ctx context.Context, c *caller, grant claim.Grant, run work) (*reply, dispatch.Effort, error) {
	lasting, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.RequestTimeout)
	done := make(chan outcome, 1)
	s.detached.Go(func() {
		defer cancel()
		answer, effort, err := run(lasting)
		s.settle(lasting, c, grant, answer, err)
		done <- outcome{reply: answer, effort: effort, err: err}
	})
	select {
	case result := <-done:
		return result.reply, result.effort, result.err
	case <-ctx.Done():
		return nil, dispatch.Effort{}, request.ErrUnknown.Wrap(ctx.Err(), "the caller left; the request goes on")
	}
}

// settle records how a granted request ended before its caller is told.
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
