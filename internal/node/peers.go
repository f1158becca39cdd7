package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/strict"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// Errors of a node.
var (
	Errors = errorx.NewNamespace("node")
	// ErrListen means that an address of the settings cannot be listened on.
	ErrListen = Errors.NewType("listen")
	// ErrPeer means that a call to another node failed or returned an invalid
	// response.
	ErrPeer = Errors.NewType("peer")
)

// peers calls other nodes. It is safe for concurrent use.
type peers struct {
	client *http.Client

	mu      sync.Mutex
	clients map[string]nodepb.Node // by address
}

func newPeers(transport http.RoundTripper) *peers {
	return &peers{client: &http.Client{Transport: strict.LimitBodies(transport, peerBodies)}, clients: map[string]nodepb.Node{}}
}

// maxPeerHeadBytes bounds the head of an answer of another node.
const maxPeerHeadBytes = 64 << 10

// peerBodies are the limits of the answers of other nodes: another process may listen at the
// address of a node that is gone. The longest are the texts of a unit that is handed over.
var peerBodies = strict.BodyLimits{
	ByMethod: map[string]int64{"Texts": 64 << 20, "Read": 16 << 20, "Store": 16 << 20},
	Others:   1 << 20,
}

// maxPeerClients bounds the number of cached clients.
const maxPeerClients = 1024

func (p *peers) clientFor(address string) nodepb.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		if len(p.clients) >= maxPeerClients {
			clear(p.clients)
		}
		client = nodepb.NewNodeProtobufClient("http://"+address, p.client)
		p.clients[address] = client
	}
	return client
}

// Ping implements cluster.Pinger.
func (p *peers) Ping(ctx context.Context, node cluster.Node) (int64, bool, error) {
	reply, err := p.clientFor(node.Address).Ping(ctx, &nodepb.PingRequest{})
	if err != nil {
		return 0, errors.Is(err, syscall.ECONNREFUSED), ErrPeer.Wrap(err, "ping of %s", node.Name)
	}
	if reply.GetNode() != node.Name {
		return 0, false, nil
	}
	return reply.GetIncarnation(), false, nil
}

// Announce implements submission.Peers.
func (p *peers) Announce(ctx context.Context, node cluster.Node, record []byte) error {
	if _, err := p.clientFor(node.Address).Announce(ctx, &nodepb.Announcement{Submission: record}); err != nil {
		return ErrPeer.Wrap(err, "announcement to %s", node.Name)
	}
	return nil
}

// Read implements submission.Peers.
func (p *peers) Read(ctx context.Context, node cluster.Node, id string, after int, wait time.Duration) (int, []*recordpb.Result, bool, error) {
	reply, err := p.clientFor(node.Address).Read(ctx, &nodepb.ReadRequest{Id: id, After: int64(after), WaitMs: wait.Milliseconds()})
	if err != nil {
		return 0, nil, false, ErrPeer.Wrap(err, "read from %s", node.Name)
	}
	batch := &recordpb.Batch{}
	if err := proto.Unmarshal(reply.GetResults(), batch); err != nil {
		return 0, nil, false, ErrPeer.Wrap(err, "malformed results from %s", node.Name)
	}
	return int(reply.GetTotal()), batch.GetResults(), reply.GetOwned(), nil
}

// texts requests the texts of a unit from the node that hands the unit over.
func (p *peers) texts(ctx context.Context, node cluster.Node, unit string) (*recordpb.Texts, error) {
	reply, err := p.clientFor(node.Address).Texts(ctx, &nodepb.TextsRequest{Unit: unit})
	if err != nil {
		return nil, ErrPeer.Wrap(err, "request for texts to %s", node.Name)
	}
	texts := &recordpb.Texts{}
	if err := proto.Unmarshal(reply.GetTexts(), texts); err != nil {
		return nil, ErrPeer.Wrap(err, "malformed texts from %s", node.Name)
	}
	return texts, nil
}

// figures requests the counts of ended requests from a node, with those of one account.
func (p *peers) figures(ctx context.Context, node cluster.Node, accountName string) (figures, error) {
	reply, err := p.clientFor(node.Address).Figures(ctx, &nodepb.FiguresRequest{Account: accountName})
	if err != nil {
		return figures{}, ErrPeer.Wrap(err, "request for figures to %s", node.Name)
	}
	return decodeFigures(reply), nil
}

// reportCrash notifies a node of a request that crashes endpoints.
func (p *peers) reportCrash(ctx context.Context, node cluster.Node, fingerprint uint64, life time.Duration) error {
	_, err := p.clientFor(node.Address).Crashed(ctx, &nodepb.CrashedRequest{Fingerprint: fingerprint, LifeMs: life.Milliseconds()})
	if err != nil {
		return ErrPeer.Wrap(err, "crash report to %s", node.Name)
	}
	return nil
}

// storeThrough returns a store that relays its calls through another node.
func (p *peers) storeThrough(node cluster.Node) metastore.Store {
	return &peerStore{client: p.clientFor(node.Address)}
}
