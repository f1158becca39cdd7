package entry

import (
	"context"
	"net/http"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step"
)

// maxPeerClients bounds the number of cached peer clients.
const maxPeerClients = 1024

// peerServer serves calls of other entries and passes each to the responsible component.
type peerServer struct {
	control *control.Manager
	claims  *claim.Server
	steps   step.Server
}

// Exchange implements peerpb.Peer.
func (s *peerServer) Exchange(ctx context.Context, news *peerpb.News) (*peerpb.News, error) {
	return s.control.Exchange(ctx, news)
}

// Claim implements peerpb.Peer.
func (s *peerServer) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return s.claims.Claim(ctx, request)
}

// Settle implements peerpb.Peer.
func (s *peerServer) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return s.claims.Settle(ctx, request)
}

// Step implements peerpb.Peer.
func (s *peerServer) Step(ctx context.Context, call *peerpb.StepCall) (*peerpb.StepResult, error) {
	return s.steps.Step(ctx, call)
}

// dialer caches a client for each peer.
type dialer struct {
	http    *http.Client
	clients *lru.Cache[string, peerpb.Peer]
}

func newDialer(client *http.Client) *dialer {
	clients, err := lru.New[string, peerpb.Peer](maxPeerClients)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &dialer{http: client, clients: clients}
}

// dial returns the client for the entry at address, a host:port pair.
func (d *dialer) dial(address string) peerpb.Peer {
	if client, ok := d.clients.Get(address); ok {
		return client
	}
	client := peerpb.NewPeerProtobufClient("http://"+address, d.http)
	d.clients.Add(address, client)
	return client
}
