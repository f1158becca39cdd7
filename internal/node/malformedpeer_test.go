package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/strict/stricttest"
	"github.com/comfreyfront/comfreyfront/internal/usage"
)

// unknownField is the content of a reply without a field that its receiver knows.
var unknownField = &nodepb.StoreReply{Detail: "d"}

// peerCall is a call of another node, with the content of an answer.
type peerCall struct {
	reply proto.Message
	do    func(ctx context.Context, p *peers, to cluster.Node) error
}

// answer returns a well-formed answer.
func (c peerCall) answer(t *testing.T) string {
	t.Helper()
	content, err := proto.Marshal(c.reply)
	require.NoError(t, err)
	return stricttest.Answer(string(content), "Content-Type: application/protobuf")
}

// to makes the call to the node at an address.
func (c peerCall) to(ctx context.Context, address string) error {
	return c.do(ctx, newPeers(newPeerTransport()), cluster.Node{Name: "n2", Address: address})
}

// peerCalls are calls of other nodes, by name.
var peerCalls = map[string]peerCall{
	"ping": {&nodepb.PingReply{Node: "n2", Incarnation: 7}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, _, err := p.Ping(ctx, to)
		return err
	}},
	"announcement": {unknownField, func(ctx context.Context, p *peers, to cluster.Node) error {
		return p.Announce(ctx, to, nil)
	}},
	"read": {&nodepb.ReadReply{Owned: true, Total: 3}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, _, _, err := p.Read(ctx, to, "s", 0, 0)
		return err
	}},
	"texts": {unknownField, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, err := p.texts(ctx, to, "u")
		return err
	}},
	"figures": {&nodepb.FiguresReply{KeyRefusals: []int64{1}}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, err := p.figures(ctx, to, "a")
		return err
	}},
	"scaling": {&nodepb.FiguresReply{KeyRefusals: []int64{1}}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, err := p.scaling(ctx, to)
		return err
	}},
	"crash report": {unknownField, func(ctx context.Context, p *peers, to cluster.Node) error {
		return p.reportCrash(ctx, to, 1, time.Second)
	}},
	"usage": {&nodepb.UsageReply{Unreported: 2}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, err := p.passUsage(ctx, to, []usage.Batch{{}})
		return err
	}},
	"store": {&nodepb.StoreReply{Items: []*nodepb.Item{{Key: "k"}}}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, err := p.storeThrough(to).Get(ctx, "k")
		return err
	}},
}

// requireMalformedPeerAnswers checks that the answer of a peer is taken in its well-formed form
// only.
func requireMalformedPeerAnswers(t *testing.T, malformations []stricttest.Malformation) {
	t.Helper()
	for name, c := range peerCalls {
		t.Run(name, func(t *testing.T) {
			answer := c.answer(t)
			callOnce := func(answer string) error {
				return stricttest.Call(answer, func(address string) error { return c.to(t.Context(), address) })
			}
			require.NoError(t, callOnce(answer))
			for _, m := range malformations {
				assert.Error(t, callOnce(m.Apply(answer)), m.Name)
			}
		})
	}
}

// floodBuffers is more than what the buffers between two processes hold, in bytes.
const floodBuffers = 16 << 20

// TestAnswerOfAPeerWithoutEndIsBounded checks how much of an answer without end is read: another
// process may listen at the address of a node that is gone.
func TestAnswerOfAPeerWithoutEndIsBounded(t *testing.T) {
	limits := map[string]int64{
		"ping": 1 << 20, "announcement": 1 << 20, "figures": 1 << 20, "scaling": 1 << 20, "crash report": 1 << 20, "usage": 1 << 20,
		"read": 16 << 20, "store": 16 << 20, "texts": 64 << 20,
	}
	for name, c := range peerCalls {
		t.Run(name, func(t *testing.T) {
			server := stricttest.NewFloodServer(func(*http.Request) stricttest.Flood {
				return stricttest.Flood{Beginning: "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", Part: stricttest.Repeat("x")}
			})
			defer server.Close()
			require.Error(t, c.to(t.Context(), server.Address()))
			require.Less(t, server.Sent(), limits[name]+floodBuffers)
		})
	}
}

func TestMalformedStatusesOfPeersAreNoAnswers(t *testing.T) {
	requireMalformedPeerAnswers(t, stricttest.StatusLines)
}

func TestMalformedFieldsOfPeersAreNoAnswers(t *testing.T) {
	requireMalformedPeerAnswers(t, stricttest.FieldLines)
}

func TestMalformedFramingsOfPeersAreNoAnswers(t *testing.T) {
	requireMalformedPeerAnswers(t, stricttest.Framings)
}

func TestHeadsOfPeersThatAreCutAreNoAnswers(t *testing.T) {
	requireMalformedPeerAnswers(t, stricttest.Cuts)
}

// largePeerCalls are calls that are still being written when an early answer arrives.
var largePeerCalls = map[string]peerCall{
	"announcement": {unknownField, func(ctx context.Context, p *peers, to cluster.Node) error {
		return p.Announce(ctx, to, largeBody)
	}},
	"commit": {&nodepb.StoreReply{Revision: 2}, func(ctx context.Context, p *peers, to cluster.Node) error {
		_, err := p.storeThrough(to).Commit(ctx, metastore.Txn{Puts: []metastore.Put{{Key: "k", Value: largeBody}}})
		return err
	}},
}

var largeBody = make([]byte, stricttest.LargeBytes)

// TestEarlyAnswerOfAPeerThatIsResetIsNotWhole checks that a body without a length is not whole if
// its connection is reset while the call is still being written.
func TestEarlyAnswerOfAPeerThatIsResetIsNotWhole(t *testing.T) {
	for name, c := range largePeerCalls {
		t.Run(name, func(t *testing.T) {
			for form, early := range stricttest.Resets(c.answer(t)) {
				assert.Error(t, stricttest.CallEarly(early, func(address string) error { return c.to(t.Context(), address) }), form)
			}
			require.NoError(t, stricttest.CallEarly(stricttest.Finished(c.answer(t)), func(address string) error { return c.to(t.Context(), address) }))
		})
	}
}
