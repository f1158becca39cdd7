package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/textlimit"
)

// maxEventSize bounds one server-sent event of an engine, in bytes.
const maxEventSize = 1 << 20

// errStalled is the cause of a canceled call that made no progress.
var errStalled = errors.New("no progress within the stall timeout")

// Client calls model engines.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Call describes one attempt at a completion on one engine.
type Call struct {
	Address   string // host:port
	RequestID string // identifies this attempt; the engine echoes it
	Request   CompletionRequest
	// StallTimeout bounds the wait for the next piece; zero means no limit.
	StallTimeout time.Duration
	// OnPiece receives the pieces in order. An error that it returns ends the call and is
	// returned unchanged.
	OnPiece func(CompletionChoice) error
}

// Complete runs the call as a stream. It returns nil only after the engine's end marker.
// Errors are of this package or were returned by OnPiece.
func (c *Client) Complete(ctx context.Context, call Call) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := newWatchdog(call.StallTimeout, func() { cancel(errStalled) })
	defer watchdog.stop()
	var sent sendTracker
	answer, err := c.post(sent.trace(ctx), call)
	if err != nil {
		return sent.classify(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return classifyStatus(answer)
	}
	if echoed := answer.Header.Get(HeaderRequestID); echoed != call.RequestID {
		return ErrForeign.New("answer to request %q", echoed)
	}
	return readStream(ctx, &sent, answer.Body, call, watchdog)
}

func (c *Client) post(ctx context.Context, call Call) (*http.Response, error) {
	request := call.Request
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("Accept", "text/event-stream")
	post.Header.Set(HeaderRequestID, call.RequestID)
	return c.http.Do(post)
}

// readStream passes the pieces of a stream to call.OnPiece until the end marker.
func readStream(ctx context.Context, sent *sendTracker, body io.Reader, call Call, watchdog *watchdog) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventSize)
	room := roomOf(call.Request)
	finished := false
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data:")
		if !isData {
			continue
		}
		data = strings.TrimSpace(data)
		if data == StreamEnd {
			return checkEnd(finished)
		}
		watchdog.reset()
		choice, err := decodePiece(data, call.RequestID)
		if err != nil {
			return err
		}
		if err := room.take(choice); err != nil {
			return err
		}
		finished = choice.FinishReason != ""
		if err := call.OnPiece(choice); err != nil {
			return err
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return sent.classify(ctx, err)
}

// room is how much an engine may still generate for a request.
type room struct {
	tokens, bytes int
}

// roomOf returns the room for the answer to a request.
func roomOf(request CompletionRequest) *room {
	tokens := request.MaxTokens - request.ResumeTokens
	if request.MaxTokens <= 0 {
		tokens = textlimit.MaxBytes
	}
	return &room{tokens: tokens, bytes: textlimit.Bytes(int64(request.MaxTokens))}
}

// take takes the room for a piece. It returns ErrOverlong if there is none.
func (r *room) take(piece CompletionChoice) error {
	r.tokens -= max(piece.Tokens, 0)
	r.bytes -= len(piece.Text)
	if r.tokens < 0 || r.bytes < 0 {
		return ErrOverlong.New("a text that goes on beyond the tokens of its request")
	}
	return nil
}

func checkEnd(finished bool) error {
	if !finished {
		return ErrBroken.New("end marker without a finish reason")
	}
	return nil
}

func decodePiece(data, requestID string) (CompletionChoice, error) {
	var chunk CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return CompletionChoice{}, ErrBroken.Wrap(err, "malformed event")
	}
	if chunk.ID != "" && chunk.ID != requestID {
		return CompletionChoice{}, ErrForeign.New("event of request %q", chunk.ID)
	}
	if len(chunk.Choices) != 1 {
		return CompletionChoice{}, ErrBroken.New("event with %d choices", len(chunk.Choices))
	}
	return chunk.Choices[0], nil
}

// watchdog calls a function when it is not reset within its timeout.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
}

func newWatchdog(timeout time.Duration, expired func()) *watchdog {
	if timeout <= 0 {
		return &watchdog{}
	}
	return &watchdog{timeout: timeout, timer: time.AfterFunc(timeout, expired)}
}

func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
