package traffic

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Default and limit of max_tokens.
const (
	defaultMaxTokens = 16
	limitMaxTokens   = 1 << 17
)

// completionResponse is the response body of a completion that is not streamed.
type completionResponse struct {
	ID      string                    `json:"id"`
	Object  string                    `json:"object"`
	Model   string                    `json:"model"`
	Choices []engine.CompletionChoice `json:"choices"`
	Usage   usage                     `json:"usage"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// serveCompletion runs one completion.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, body, ok := s.receive(w, r)
	if !ok {
		return
	}
	parsed, err := parseCompletion(body)
	if err == nil && parsed.Stream && c.key != "" {
		err = request.ErrInvalid.New("a streamed answer cannot be stored for retries: omit %s or stream", request.HeaderIdempotencyKey)
	}
	if err != nil {
		s.record(c, s.fail(w, c, err), dispatch.Effort{})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.options.RequestTimeout)
	defer cancel()
	c.idempotent = c.key == "" && r.Header.Get(HeaderIdempotent) != "false"
	completion := s.newCompletion(c, parsed)
	if parsed.Stream {
		s.streamCompletion(ctx, w, c, completion)
		return
	}
	s.answerCompletion(ctx, w, c, completion, body)
}

// parseCompletion decodes and validates the body of a completion request.
func parseCompletion(body []byte) (*engine.CompletionRequest, error) {
	parsed := &engine.CompletionRequest{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, request.ErrInvalid.Wrap(err, "the body is not a valid completion request")
	}
	switch {
	case parsed.Model == "":
		return nil, request.ErrInvalid.New("model: must be set")
	case parsed.Prompt == "":
		return nil, request.ErrInvalid.New("prompt: must be set")
	case parsed.MaxTokens < 1 || parsed.MaxTokens > limitMaxTokens:
		return nil, request.ErrInvalid.New("max_tokens: %d must be 1 to %d", parsed.MaxTokens, limitMaxTokens)
	case parsed.Resume != "" || parsed.ResumeTokens != 0:
		return nil, request.ErrInvalid.New("resume: reserved for internal use")
	}
	if n, set := parsed.Extra["n"]; set && string(n) != "1" {
		return nil, request.ErrInvalid.New("n: only one choice is supported; send the request n times")
	}
	return parsed, nil
}

func (s *Server) newCompletion(c *caller, parsed *engine.CompletionRequest) *dispatch.Completion {
	c.serves = parsed.Model
	content := dispatch.FingerprintOf(parsed.Model, parsed.Prompt)
	return &dispatch.Completion{Call: c.call(content), Request: *parsed, MinDeliverable: s.freshness(c, parsed.Model)}
}

// freshness returns a function that computes the lowest weight version that may currently
// be delivered to the caller.
func (s *Server) freshness(c *caller, model string) func() int64 {
	return func() int64 {
		versions := s.options.Snapshots.Load().Versions[model]
		lowest := versions.Floor
		if limit, bounded := c.class.Freshness.VersionLimit(); bounded {
			lowest = max(lowest, versions.Newest-int64(limit))
		}
		if age, bounded := c.class.Freshness.AgeLimit(); bounded {
			lowest = max(lowest, versions.OldestWithin(age, s.now()))
		}
		return lowest
	}
}

// answerCompletion runs a completion and answers with all of its text in one response.
func (s *Server) answerCompletion(ctx context.Context, w http.ResponseWriter, c *caller, completion *dispatch.Completion, body []byte) {
	run := func(ctx context.Context) (*reply, dispatch.Effort, error) {
		done, effort, err := s.options.Dispatcher.Complete(ctx, completion)
		if err != nil {
			return nil, effort, err
		}
		answer, err := completionReply(c.requestID, completion.Request.Model, done)
		return answer, effort, err
	}
	var answer *reply
	var effort dispatch.Effort
	var err error
	if c.key == "" {
		answer, effort, err = run(ctx)
	} else {
		answer, effort, err = s.runKeyed(ctx, c, keyedWork{scope: completion.Request.Model, content: body, run: run})
	}
	if err != nil {
		s.record(c, s.fail(w, c, err), effort)
		return
	}
	writeReply(w, answer)
	s.record(c, request.Answered, effort)
}

func completionReply(id, model string, done dispatch.Progress) (*reply, error) {
	choice := engine.CompletionChoice{Text: done.Text, Tokens: done.Tokens, Spans: done.Spans, FinishReason: done.FinishReason}
	if last := len(done.Spans) - 1; last >= 0 {
		choice.WeightVersion = done.Spans[last].WeightVersion
	}
	body, err := json.Marshal(completionResponse{
		ID:      id,
		Object:  "text_completion",
		Model:   model,
		Choices: []engine.CompletionChoice{choice},
		Usage:   usage{CompletionTokens: done.Tokens},
	})
	if err != nil {
		return nil, request.ErrUnknown.Wrap(err, "the answer could not be encoded")
	}
	header := http.Header{}
	header.Set(request.HeaderVersions, versionList(done.Spans))
	return &reply{status: http.StatusOK, contentType: "application/json", header: header, body: body}, nil
}

// versionList returns the weight versions of the spans in order, separated by commas.
// Consecutive spans have different versions.
func versionList(spans []engine.Span) string {
	var names []string
	for _, span := range spans {
		names = append(names, strconv.FormatInt(span.WeightVersion, 10))
	}
	return strings.Join(names, ",")
}
