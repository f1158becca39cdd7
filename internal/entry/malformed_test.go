package entry

import (
	"context"
	"log/slog"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/listclient"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
)

// controlCall is a call of an entry for its own sake, with a well-formed answer.
type controlCall struct {
	answer string
	do     func(ctx context.Context, address string) error
}

// controlCalls returns the calls to other entries, and those with which an entry learns of others, by
// name. Those that carry a body carry the given one.
func controlCalls(t *testing.T, body []byte) map[string]controlCall {
	t.Helper()
	news, err := proto.Marshal(&peerpb.News{From: "e2"})
	require.NoError(t, err)
	peerClient := newBuilder(settings.Default(), slog.New(slog.DiscardHandler)).peerClient
	ofPeer := func(do func(ctx context.Context, peer peerpb.Peer) error) controlCall {
		return controlCall{stricttest.Answer(string(news), "Content-Type: application/protobuf"), func(ctx context.Context, address string) error {
			return do(ctx, newDialer(peerClient).dial(address))
		}}
	}
	return map[string]controlCall{
		"peer": {stricttest.Answer(string(news), "Content-Type: application/protobuf"), func(ctx context.Context, address string) error {
			_, err := exchange.NewHTTPCaller(peerClient).Exchange(ctx, address, &peerpb.News{Config: body})
			return err
		}},
		"claim": ofPeer(func(ctx context.Context, peer peerpb.Peer) error {
			_, err := peer.Claim(ctx, &peerpb.ClaimRequest{})
			return err
		}),
		"settlement": ofPeer(func(ctx context.Context, peer peerpb.Peer) error {
			_, err := peer.Settle(ctx, &peerpb.SettleRequest{})
			return err
		}),
		"step": ofPeer(func(ctx context.Context, peer peerpb.Peer) error {
			_, err := peer.Step(ctx, &peerpb.StepCall{Body: body})
			return err
		}),
		"load report": {stricttest.Answer("{}"), func(ctx context.Context, address string) error {
			_, err := control.NewHTTPLoads(&http.Client{Transport: engine.NewTransport()}).Load(ctx, address)
			return err
		}},
		"instance list": {stricttest.Answer(`{"instances":[]}`), func(ctx context.Context, address string) error {
			_, err := listclient.New(listclient.Options{Address: address}).Instances(ctx)
			return err
		}},
	}
}

// requireMalformed checks that the answer to each call is taken in its well-formed form only.
func requireMalformed(t *testing.T, malformations []stricttest.Malformation) {
	t.Helper()
	for name, c := range controlCalls(t, nil) {
		t.Run(name, func(t *testing.T) {
			callOnce := func(answer string) error {
				return stricttest.Call(answer, func(address string) error { return c.do(t.Context(), address) })
			}
			require.NoError(t, callOnce(c.answer))
			for _, m := range malformations {
				assert.Error(t, callOnce(m.Apply(c.answer)), m.Name)
			}
		})
	}
}

// floodBuffers is more than what the buffers between two processes hold, in bytes.
const floodBuffers = 16 << 20

// TestAnswerWithoutEndIsBounded checks how much of an answer without end is read.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	limits := map[string]int64{"peer": 16 << 20, "claim": 16 << 20, "settlement": 16 << 20, "step": 64 << 20, "load report": 1 << 20, "instance list": 64 << 20}
	for name, c := range controlCalls(t, nil) {
		t.Run(name, func(t *testing.T) {
			server := stricttest.NewFloodServer(func(*http.Request) stricttest.Flood {
				return stricttest.Flood{Beginning: "HTTP/1.1 200 OK\r\n\r\n", Part: stricttest.Repeat("x")}
			})
			defer server.Close()
			require.Error(t, c.do(t.Context(), server.Address()))
			require.Less(t, server.Sent(), limits[name]+floodBuffers)
		})
	}
}

func TestMalformedStatusesAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.StatusLines) }

func TestMalformedFieldsAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.FieldLines) }

func TestMalformedFramingsAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.Framings) }

func TestHeadsThatAreCutAreNoAnswers(t *testing.T) { requireMalformed(t, stricttest.Cuts) }

// TestEarlyAnswerThatIsResetIsNotWhole checks that a body without a length is whole only if its
// connection ends in order, also if the answer arrives while the call is still being written.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, c := range controlCalls(t, make([]byte, stricttest.LargeBytes)) {
		t.Run(name, func(t *testing.T) {
			for form, early := range stricttest.Resets(c.answer) {
				assert.Error(t, stricttest.CallEarly(early, func(address string) error { return c.do(t.Context(), address) }), form)
			}
			require.NoError(t, stricttest.CallEarly(stricttest.Finished(c.answer), func(address string) error { return c.do(t.Context(), address) }))
		})
	}
}
