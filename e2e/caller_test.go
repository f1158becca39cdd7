package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/request"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
)

// Outcomes of an attempt as its caller sees them. An attempt is lost if no complete HTTP response
// arrived, or one without an outcome header, such as the balancer sends when an entry dies.
const (
	outcomeAnswered = string(request.Answered)
	outcomeNotRun   = string(request.NotRun)
	outcomeUnknown  = string(request.Unknown)
	outcomeLost     = "lost"
)

// callTimeout bounds one attempt of a caller unless the load sets a shorter limit.
const callTimeout = 25 * time.Second

// caller sends requests to one address, usually the balancer's.
type caller struct {
	env     *environment
	address string
	client  *http.Client
}

func newCaller(env *environment, address string) *caller {
	return &caller{env: env, address: address, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// attempt is the result of sending a request once.
type attempt struct {
	outcome string
	status  int
	header  http.Header
	body    []byte
	err     error
}

// send sends a request once, without retries by the HTTP client.
func (c *caller) send(method, path string, header http.Header, body []byte, timeout time.Duration) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return attempt{outcome: outcomeLost, err: err}
	}
	req.GetBody = nil
	req.Header = header
	resp, err := c.client.Do(req)
	if err != nil {
		return attempt{outcome: outcomeLost, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := attempt{outcome: resp.Header.Get(request.HeaderOutcome), status: resp.StatusCode, header: resp.Header}
	a.body, a.err = io.ReadAll(resp.Body)
	if a.err != nil || a.outcome == "" {
		a.outcome = outcomeLost
	}
	return a
}

// headers returns request headers with the class and the given names and values.
func headers(class string, pairs ...string) http.Header {
	header := http.Header{}
	header.Set(request.HeaderClass, class)
	for i := 0; i+1 < len(pairs); i += 2 {
		header.Set(pairs[i], pairs[i+1])
	}
	return header
}

// lookup sends a GET request, which is idempotent, to the service.
func (c *caller) lookup(path string) attempt {
	return c.send(http.MethodGet, "/services/"+application+path, headers("lookup"), nil, callTimeout)
}

// update sends a POST request with an idempotency key to the service.
func (c *caller) update(path, key, body string, timeout time.Duration) attempt {
	header := headers("update", request.HeaderIdempotencyKey, key)
	return c.send(http.MethodPost, "/services/"+application+path, header, []byte(body), timeout)
}

// serviceResult decodes the service's response.
func (a attempt) serviceResult() (service.Result, error) {
	var result service.Result
	err := json.Unmarshal(a.body, &result)
	return result, err
}

// completionRequest holds the parameters of a completion.
type completionRequest struct {
	prompt string
	tokens int
	stream bool
}

// completion is the response to an attempt at a completion request.
type completion struct {
	attempt
	// complete is set if the response has the outcome answered or, if streamed, the end marker.
	complete bool
	text     string
	spans    []engine.Span
}

// correct reports whether the text is exactly what the engines generate for the request with the
// weight versions that the response lists.
func (r completionRequest) correct(got completion) bool {
	length, _ := standin.Length(r.prompt, r.tokens)
	total := 0
	for _, span := range got.spans {
		total += span.Tokens
	}
	if versions := got.header.Get(request.HeaderVersions); !r.stream && versions != versionsHeader(got.spans) {
		return false
	}
	return total == length && got.text == standin.Text(standin.Base(model, r.prompt, 0), 0, got.spans)
}

// versionsHeader returns the weight versions of spans in the format of the response header.
func versionsHeader(spans []engine.Span) string {
	var versions []string
	for _, span := range spans {
		versions = append(versions, strconv.FormatInt(span.WeightVersion, 10))
	}
	return strings.Join(versions, ",")
}

// complete sends a completion request.
func (c *caller) complete(r completionRequest) completion {
	body, err := json.Marshal(engine.CompletionRequest{Model: model, Prompt: r.prompt, MaxTokens: r.tokens, Stream: r.stream})
	if err != nil {
		return completion{attempt: attempt{outcome: outcomeLost, err: err}}
	}
	a := c.send(http.MethodPost, "/v1/completions", headers("lookup"), body, callTimeout)
	if a.status != http.StatusOK {
		return completion{attempt: a}
	}
	if r.stream {
		return decodeStream(a)
	}
	return decodeCompletion(a)
}

// decodeCompletion decodes a response that is not streamed.
func decodeCompletion(a attempt) completion {
	got := completion{attempt: a}
	var chunk engine.CompletionChunk
	if a.err != nil || json.Unmarshal(a.body, &chunk) != nil || len(chunk.Choices) != 1 {
		return got
	}
	got.complete = a.outcome == outcomeAnswered
	got.text, got.spans = chunk.Choices[0].Text, chunk.Choices[0].Spans
	return got
}

// decodeStream decodes a streamed response. It is answered if it has the end marker, and lost
// otherwise.
func decodeStream(a attempt) completion {
	got := completion{attempt: a}
	got.outcome = outcomeLost
	for line := range strings.SplitSeq(string(a.body), "\n") {
		data, isData := strings.CutPrefix(line, "data: ")
		if !isData {
			continue
		}
		if data == engine.StreamEnd {
			got.complete, got.outcome = true, outcomeAnswered
			continue
		}
		var chunk engine.CompletionChunk
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
			continue
		}
		choice := chunk.Choices[0]
		got.text += choice.Text
		if choice.Tokens > 0 {
			got.spans = append(got.spans, engine.Span{WeightVersion: choice.WeightVersion, Tokens: choice.Tokens})
		}
	}
	return got
}
