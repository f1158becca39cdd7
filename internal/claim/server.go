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

// Server decides the claims of the partitions that its entry owns. Claim and Settle are
// methods of peerpb.Peer. Server is safe for concurrent use.
type Server struct {
	store   keyvalue.Store
	owner   ownership.Owner
	options Options
	logger  *slog.Logger
	metrics *metrics

	// runCtx ends when Run returns; it is the parent context of the partitions' loops.
	runCtx    context.Context
	cancelRun context.CancelFunc
	loops     sync.WaitGroup
	opening   singleflight.Group

	mu   sync.Mutex
	open map[uint32]*openedPartition
	// attempts contains the latest takeover attempts, by partition.
	attempts map[uint32]takeoverAttempts
	// unresolved contains, by partition, the claims whose outcome was unknown when the
	// partition was closed.
	unresolved map[uint32][]*pendingRow
	leaving    bool
}

// openedPartition is a partition with the tenure under which it was opened.
type openedPartition struct {
	*partition
	tenure ownership.Tenure
	done   chan struct{} // closed when the partition's loop has returned
	cancel context.CancelFunc
}

// NewServer returns a Server. The caller must call Run; registerer may be nil.
func NewServer(store keyvalue.Store, owner ownership.Owner, options Options, logger *slog.Logger, registerer prometheus.Registerer) *Server {
	runCtx, cancelRun := context.WithCancel(context.Background())
	s := &Server{
		store: store, owner: owner, options: options.withDefaults(), logger: logger,
		runCtx: runCtx, cancelRun: cancelRun,
		open: map[uint32]*openedPartition{}, attempts: map[uint32]takeoverAttempts{},
		unresolved: map[uint32][]*pendingRow{},
	}
	s.metrics = newMetrics(registerer, s.claimCount)
	return s
}

// Run waits until ctx ends and then closes all partitions.
func (s *Server) Run(ctx context.Context) error {
	<-ctx.Done()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.cancelRun()
	s.loops.Wait()
	return nil
}

// HandOver stops accepting claims, commits the queued rows and releases the partitions, so
// that other entries can take them over immediately.
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
	_ = s.owner.Release(ctx, p.tenure.Unit) // if the call fails, the unit becomes free when the lease expires
}

// Claim decides a claim from this or another entry.
func (s *Server) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	key, validKey := keyFrom(request.GetKey())
	fingerprint, validFingerprint := fingerprintFrom(request.GetFingerprint())
	if !validKey || !validFingerprint || request.GetPartition() != PartitionOf(key, s.options.Partitions) {
		return nil, twirp.InvalidArgumentError("key", "key, fingerprint or partition is malformed")
	}
	p, err := s.partition(ctx, request.GetPartition())
	if err != nil {
		return s.refusalOf(err), nil
	}
	grant, err := p.claim(ctx, Request{Key: key, Fingerprint: fingerprint, Claimant: request.GetClaimant()})
	if err != nil {
		return s.refusalOf(err), nil
	}
	reply := replyOf(grant)
	s.metrics.countVerdict(reply.GetVerdict().String())
	return reply, nil
}

func (s *Server) refusalOf(err error) *peerpb.ClaimReply {
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

// Settle records how a granted request ended. NotRun is durable when Settle returns without
// an error.
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

// metaOwner is the metadata key of the owner's name in the error of a Settle call to an
// entry that is not the owner.
const metaOwner = "owner"

func (s *Server) claimCount() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, p := range s.open {
		total += p.count()
	}
	return float64(total)
}
