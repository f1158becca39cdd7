package claim

import (
	"context"
	"log/slog"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/singleflight"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// Server decides on the claims of the partitions that its entry owns. Claim
// and Settle are the methods of peerpb.Peer. It is safe for concurrent use.
type Server struct {
	store   keyvalue.Store
	owner   ownership.Owner
	options Options
	logger  *slog.Logger
	metrics *metrics

	// life ends when Run does; the partitions' loops run under it.
	life    context.Context
	end     context.CancelFunc
	loops   sync.WaitGroup
	opening singleflight.Group

	mu   sync.Mutex
	open map[uint32]*openedPartition
	// tries are what is remembered of taking partitions over.
	tries map[uint32]takeoverTries
	// unresolved are claims that were in doubt when a partition was dropped.
	unresolved map[uint32][]*pendingRow
	leaving    bool
}

// openedPartition is a partition with the tenure that it was opened under.
type openedPartition struct {
	*partition
	tenure ownership.Tenure
	done   chan struct{} // closes when its loop has ended
	cancel context.CancelFunc
}

// NewServer returns a Server. Run must run; registerer may be nil.
func NewServer(store keyvalue.Store, owner ownership.Owner, options Options, logger *slog.Logger, registerer prometheus.Registerer) *Server {
	life, end := context.WithCancel(context.Background())
	s := &Server{
		store: store, owner: owner, options: options.withDefaults(), logger: logger,
		life: life, end: end,
		open: map[uint32]*openedPartition{}, tries: map[uint32]takeoverTries{},
		unresolved: map[uint32][]*pendingRow{},
	}
	s.metrics = newMetrics(registerer, s.claimsHeld)
	return s
}

// Run waits until ctx ends, then ends all partitions.
func (s *Server) Run(ctx context.Context) error {
	<-ctx.Done()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.end()
	s.loops.Wait()
	return nil
}

// HandOver takes no more claims, commits what waits and gives the partitions
// up, so that other entries can take them over at once.
func (s *Server) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	opened := make([]*openedPartition, 0, len(s.open))
	for _, p := range s.open {
		opened = append(opened, p)
	}
	s.mu.Unlock()
	for _, p := range opened {
		p.drain()
	}
	for _, p := range opened {
		s.finish(ctx, p)
	}
}

// finish waits for a drained partition and releases its unit.
func (s *Server) finish(ctx context.Context, p *openedPartition) {
	select {
	case <-p.done:
	case <-ctx.Done():
		p.cancel()
		<-p.done
	}
	_ = s.owner.Release(ctx, p.tenure.Unit) // the lease ends it when this fails
}

// Claim decides on a claim of another entry or this one.
func (s *Server) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	key, validKey := keyFrom(request.GetKey())
	fingerprint, validFingerprint := fingerprintFrom(request.GetFingerprint())
	if !validKey || !validFingerprint || request.GetPartition() != PartitionOf(key, s.options.Partitions) {
		return nil, twirp.InvalidArgumentError("key", "key, fingerprint or partition is malformed")
	}
	p, err := s.partition(ctx, request.GetPartition())
	if err != nil {
		return s.refuse(err), nil
	}
	grant, err := p.claim(ctx, Request{Key: key, Fingerprint: fingerprint, Claimant: request.GetClaimant()})
	if err != nil {
		return s.refuse(err), nil
	}
	reply := replyOf(grant)
	s.metrics.countVerdict(reply.GetVerdict().String())
	return reply, nil
}

func (s *Server) refuse(err error) *peerpb.ClaimReply {
	reply := &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_UNAVAILABLE}
	if holder := ownership.HolderOf(err); holder != "" || errorx.IsOfType(err, errLeaving) {
		reply.Verdict, reply.Owner = peerpb.ClaimReply_NOT_OWNER, holder
	}
	s.metrics.countVerdict(reply.GetVerdict().String())
	return reply
}

func replyOf(grant Grant) *peerpb.ClaimReply {
	reply := &peerpb.ClaimReply{Epoch: grant.Epoch}
	switch grant.Verdict {
	case Granted:
		reply.Verdict = peerpb.ClaimReply_GRANTED
	case Mismatch:
		reply.Verdict = peerpb.ClaimReply_MISMATCH
	case Taken:
		reply.Verdict = peerpb.ClaimReply_TAKEN
		reply.Ending = peerpb.Ending(grant.Prior.State)
		reply.Answer = grant.Prior.Answer.wire()
	}
	return reply
}

// Settle notes how a granted request ended; a NotRun is durable then.
func (s *Server) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	key, validKey := keyFrom(request.GetKey())
	state := State(request.GetEnding())
	if !validKey || state < Answered || state > Unknown || request.GetPartition() != PartitionOf(key, s.options.Partitions) {
		return nil, twirp.InvalidArgumentError("key", "key, ending or partition is malformed")
	}
	p, err := s.partition(ctx, request.GetPartition())
	if err != nil {
		return nil, settleError(err)
	}
	durable, err := p.settle(ctx, key, request.GetClaimant(), Ending{State: state, Answer: answerFromWire(request.GetAnswer())})
	if err != nil {
		return nil, settleError(err)
	}
	return &peerpb.SettleReply{Durable: durable}, nil
}

func settleError(err error) error {
	if holder := ownership.HolderOf(err); holder != "" {
		return twirp.NewError(twirp.FailedPrecondition, "not the owner").WithMeta(metaOwner, holder)
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// metaOwner names the owner in the error of a Settle that came to another entry.
const metaOwner = "owner"

func (s *Server) claimsHeld() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := 0
	for _, p := range s.open {
		held += p.count()
	}
	return float64(held)
}
