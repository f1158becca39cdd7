package engine

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
)

// reader is a call whose answer is read.
type reader struct {
	answer string // a well-formed answer
	do     func(ctx context.Context, address string) error
	want   *errorx.Type // the error of a malformed answer
	// ended means that the content of an answer says where it ends, so that it is whole whatever
	// follows.
	ended bool
}

// readers returns all calls of this package, by name.
func readers() map[string]reader { return readersOf("") }

// readersOf returns all calls of this package, by name. Those that carry a body carry the given one.
func readersOf(body string) map[string]reader {
	stream := event(testRequestID, "a", "stop") + "data: [DONE]\n\n"
	service := func(repeatable bool) reader {
		return reader{stricttest.Answer("ok"), func(ctx context.Context, address string) error {
			client := NewServiceClient(NewTransport(), NewSingleUseTransport())
			_, err := client.Do(ctx, ServiceCall{Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte(body)}, repeatable)
			return err
		}, ErrBroken, false}
	}
	order := func(do func(context.Context, *OrderClient, string) (WeightState, error)) reader {
		return reader{stricttest.Answer(`{"active":4}`), func(ctx context.Context, address string) error {
			_, err := do(ctx, NewOrderClient(NewTransport()), address)
			return err
		}, ErrOrderFailed, false}
	}
	return map[string]reader{
		"completion": {stricttest.Answer(stream, HeaderRequestID+": "+testRequestID), func(ctx context.Context, address string) error {
			return NewClient(NewTransport()).Complete(ctx, Call{
				Address: address, RequestID: testRequestID, Request: CompletionRequest{Prompt: body}, OnPiece: func(CompletionChoice) error { return nil },
			})
		}, ErrBroken, true},
		"repeatable call": service(true),
		"single-use call": service(false),
		"stage": order(func(ctx context.Context, c *OrderClient, address string) (WeightState, error) {
			return c.Stage(ctx, address, WeightOrder{})
		}),
		"activate": order(func(ctx context.Context, c *OrderClient, address string) (WeightState, error) {
			return c.Activate(ctx, address, WeightOrder{})
		}),
		"state": order(func(ctx context.Context, c *OrderClient, address string) (WeightState, error) {
			return c.State(ctx, address)
		}),
	}
}

// callOnce makes a call to a server that sends the given answer.
func callOnce(t *testing.T, r reader, answer string) error {
	t.Helper()
	return stricttest.Call(answer, func(address string) error { return r.do(t.Context(), address) })
}

// requireMalformed checks that the answer to each call is taken in its well-formed form only.
func requireMalformed(t *testing.T, malformations []stricttest.Malformation) {
	t.Helper()
	for name, r := range readers() {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, callOnce(t, r, r.answer))
			for _, m := range malformations {
				if r.ended && m.AfterBody {
					continue
				}
				err := callOnce(t, r, m.Apply(r.answer))
				assert.True(t, errorx.IsOfType(err, r.want), "%s: %v", m.Name, err)
			}
		})
	}
}

func TestMalformedStatusesAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.StatusLines) }

func TestMalformedFieldsAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.FieldLines) }

func TestMalformedFramingsAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.Framings) }

func TestHeadsThatAreCutAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.Cuts) }

// largeBody is the body of a request that is still being written when an early answer arrives.
var largeBody = strings.Repeat("b", stricttest.LargeBytes)

// TestEarlyAnswerThatIsResetIsNotWhole checks that a body without a length is not whole if its
// connection is reset while the call is still being written: it stays open whether the call ran.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, r := range readersOf(largeBody) {
		if r.ended {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for form, early := range stricttest.Resets(r.answer) {
				err := stricttest.CallEarly(early, func(address string) error { return r.do(t.Context(), address) })
				assert.Error(t, err, form)
				assert.False(t, errorx.IsOfType(err, ErrNotRun) || errorx.IsOfType(err, ErrNotSent), "%s: %v", form, err)
			}
		})
	}
}

// TestEarlyAnswerThatEndsInOrderIsWhole checks that a body without a length is whole if its
// connection ends in order, also before the call has been read.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for name, r := range readersOf(largeBody) {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, stricttest.CallEarly(stricttest.Finished(r.answer), func(address string) error { return r.do(t.Context(), address) }))
		})
	}
}
