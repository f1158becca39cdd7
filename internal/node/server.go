package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/submission/recordpb"
)

// peerServer serves the calls of other nodes.
type peerServer struct {
	node *Node
}

var _ nodepb.Node = (*peerServer)(nil)

// Ping implements nodepb.Node.
func (s *peerServer) Ping(context.Context, *nodepb.PingRequest) (*nodepb.PingReply, error) {
	self := s.node.cluster.Self()
	return &nodepb.PingReply{Node: self.Name, Incarnation: self.Incarnation, InTouch: s.node.store.Connected()}, nil
}

// Announce implements nodepb.Node.
func (s *peerServer) Announce(_ context.Context, request *nodepb.Announcement) (*nodepb.Announced, error) {
	record := &recordpb.Submission{}
	if err := proto.Unmarshal(request.GetSubmission(), record); err != nil {
		return nil, ErrPeer.Wrap(err, "announcement")
	}
	s.node.submissions.Announced(record)
	return &nodepb.Announced{}, nil
}

// Read implements nodepb.Node.
func (s *peerServer) Read(ctx context.Context, request *nodepb.ReadRequest) (*nodepb.ReadReply, error) {
	if request.GetAfter() < 0 {
		return nil, ErrPeer.New("negative position %d", request.GetAfter())
	}
	total, results, owned := s.node.submissions.ReadLocal(ctx, request.GetId(), int(request.GetAfter()), time.Duration(request.GetWaitMs())*time.Millisecond)
	encoded, err := proto.Marshal(&recordpb.Batch{Results: results})
	if err != nil {
		return nil, ErrPeer.Wrap(err, "the results could not be encoded")
	}
	return &nodepb.ReadReply{Owned: owned, Total: int32(total), Results: encoded}, nil
}

// Texts implements nodepb.Node.
func (s *peerServer) Texts(_ context.Context, request *nodepb.TextsRequest) (*nodepb.TextsReply, error) {
	encoded, err := proto.Marshal(s.node.submissions.TextsOf(request.GetUnit()))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "the texts could not be encoded")
	}
	return &nodepb.TextsReply{Texts: encoded}, nil
}

// Store implements nodepb.Node.
func (s *peerServer) Store(ctx context.Context, request *nodepb.StoreRequest) (*nodepb.StoreReply, error) {
	arrived, method := s.node.hubs.instant(), request.GetMethod()
	if request.GetCached() && (method == nodepb.StoreRequest_RANGE || method == nodepb.StoreRequest_WATCH) {
		return s.node.caches.serve(ctx, request, arrived), nil
	}
	if !s.node.store.Connected() {
		// A relayed call would fail here as well, and each call to the store has a cost.
		return &nodepb.StoreReply{Failure: nodepb.StoreReply_UNAVAILABLE, Detail: "this node does not reach the store either"}, nil
	}
	return serveStore(ctx, s.node.direct, request), nil
}

// Figures implements nodepb.Node.
func (s *peerServer) Figures(_ context.Context, request *nodepb.FiguresRequest) (*nodepb.FiguresReply, error) {
	reply := encodeFigures(s.node.localFigures(request.GetAccount()))
	reply.Scaling = encodeScaling(s.node)
	return reply, nil
}

// Crashed implements nodepb.Node.
func (s *peerServer) Crashed(_ context.Context, request *nodepb.CrashedRequest) (*nodepb.CrashedReply, error) {
	if request.GetBroken() {
		s.node.crashes.CountBroken(request.GetFingerprint())
		return &nodepb.CrashedReply{}, nil
	}
	s.node.crashes.Block(request.GetFingerprint(), time.Duration(request.GetLifeMs())*time.Millisecond)
	return &nodepb.CrashedReply{}, nil
}
