package trainer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
	"github.com/comfreyfront/comfreyfront/trainer"
)

// refused is an answer with which the service ends a step for good.
var refused = strings.Replace(stricttest.Answer(`{"type":"about:blank","detail":"d"}`), "200 OK", "409 Conflict", 1)

// retryTime is how long a client tries whose calls fail.
const retryTime = 200 * time.Millisecond

// create creates a large step with a service that answers early, and returns the error. It tries for the given time at most.
func create(t *testing.T, answer stricttest.Early, limit time.Duration) error {
	t.Helper()
	large := spec
	large.Groups = []trainer.Group{{Prompt: strings.Repeat("p", stricttest.LargeBytes), Size: 1, MaxTokens: 1}}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return stricttest.CallEarly(answer, func(address string) error {
		client := trainer.New(trainer.Options{URL: "http://" + address})
		return client.Run(ctx, large, func(trainer.Sample) error { return io.ErrUnexpectedEOF })
	})
}

// TestRefusalThatIsResetEndsNoStep checks that a step is not given up because of a part of an
// answer: its connection was reset while the step was still being sent.
func TestRefusalThatIsResetEndsNoStep(t *testing.T) {
	for _, pause := range stricttest.ResetPauses {
		t.Run(pause.String(), func(t *testing.T) {
			answer := stricttest.Early{Parts: []string{stricttest.Unsized(refused)}, Pause: pause, Ending: stricttest.Reset}
			require.ErrorIs(t, create(t, answer, retryTime), context.DeadlineExceeded)
		})
	}
}

// TestMalformedRefusalEndsNoStep checks that a step is not given up because of a malformed answer.
func TestMalformedRefusalEndsNoStep(t *testing.T) {
	for _, m := range stricttest.Named(stricttest.FieldLines, "blank in a name", "control byte in a value") {
		t.Run(m.Name, func(t *testing.T) {
			server := stricttest.NewServer(func(*http.Request) string { return m.Apply(refused) })
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), retryTime)
			defer cancel()
			client := trainer.New(trainer.Options{URL: "http://" + server.Address()})
			require.ErrorIs(t, client.Run(ctx, spec, nil), context.DeadlineExceeded)
		})
	}
}

// TestRefusalThatEndsInOrderEndsAStep checks that a refusal without a length is taken.
func TestRefusalThatEndsInOrderEndsAStep(t *testing.T) {
	require.ErrorContains(t, create(t, stricttest.Finished(refused), time.Minute), "superseded")
}
