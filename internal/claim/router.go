package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// hopLimit is the maximum number of entries to which one claim or ending is sent.
const hopLimit = 3

// Peer is a live entry that may own partitions.
type Peer struct {
	ID      string
	Address string // host:port of its interface for entries
	// Leaving is set if the entry acquires no more partitions; it may still own some.
	Leaving bool
}

// Owner decides claims and records endings, at this or another entry. peerpb.Peer
// includes its methods.
type Owner interface {
	Claim(context.Context, *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Settle(context.Context, *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// Router is the Claimer of an entry. It sends claims and endings to the owner of the key's
// partition. Router is safe for concurrent use.
type Router struct {
	self    string
	local   Owner
	peers   func() []Peer
	dial    func(Peer) Owner
	options Options
	logger  *slog.Logger

	mu sync.Mutex
	// holders contains the entry that last decided a claim, by partition.
	holders map[uint32]string
}

var _ Claimer = (*Router)(nil)

// NewRouter returns a Router for the entry self, whose own Server is local. peers returns
// the live entries, including self; dial returns the client of another entry.
func NewRouter(self string, local Owner, peers func() []Peer, dial func(Peer) Owner, options Options, logger *slog.Logger) *Router {
	return &Router{
		self: self, local: local, peers: peers, dial: dial, options: options.withDefaults(), logger: logger,
		holders: map[uint32]string{},
	}
}

// Claim requests permission to run a request; see Claimer.
func (r *Router) Claim(ctx context.Context, request Request) (Grant, error) {
	partition := PartitionOf(request.Key, r.options.Partitions)
	wire := r.newClaim(partition, request)
	route := r.route(partition)
	for range hopLimit {
		peer, ok := route.next()
		if !ok {
			break
		}
		reply, err := r.sendClaim(ctx, peer, wire)
		if notSent(err) {
			r.setHolder(partition, "")
			continue
		}
		if err != nil {
			r.setHolder(partition, "")
			r.withdraw(ctx, peer, wire)
			return Grant{}, ErrUnavailable.Wrap(err, "no response from the owner %q", peer.ID)
		}
		if reply.GetVerdict() == peerpb.ClaimReply_UNAVAILABLE {
			// This owner granted nothing. If it cannot reach the store, the next entry
			// takes over. The claim gets a new claimant name, because this owner may
			// free the key for the old name when it can write again.
			r.setHolder(partition, "")
			wire = r.newClaim(partition, request)
			continue
		}
		if reply.GetVerdict() == peerpb.ClaimReply_NOT_OWNER {
			r.setHolder(partition, "")
			route.redirect(reply.GetOwner())
			continue
		}
		r.setHolder(partition, peer.ID)
		return grantOf(request.Key, wire.Claimant, peer, reply)
	}
	return Grant{}, ErrUnavailable.New("no owner of partition %d can decide the claim", partition)
}

// newClaim returns the request for a claim with a unique claimant name.
func (r *Router) newClaim(partition uint32, request Request) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		Partition:   partition,
		Key:         request.Key[:],
		Fingerprint: request.Fingerprint.Bytes(),
		Claimant:    request.Claimant + "/" + rand.Text(),
	}
}

func (r *Router) sendClaim(ctx context.Context, peer Peer, wire *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	return r.owner(peer).Claim(ctx, wire)
}

func (r *Router) owner(peer Peer) Owner {
	if peer.ID == r.self {
		return r.local
	}
	return r.dial(peer)
}

func grantOf(key Key, claimant string, peer Peer, reply *peerpb.ClaimReply) (Grant, error) {
	grant := Grant{Key: key, Epoch: reply.GetEpoch(), Claimant: claimant, owner: peer.ID}
	switch reply.GetVerdict() {
	case peerpb.ClaimReply_GRANTED:
		grant.Verdict = Granted
	case peerpb.ClaimReply_MISMATCH:
		grant.Verdict = Mismatch
	case peerpb.ClaimReply_TAKEN:
		grant.Verdict = Taken
		grant.Prior = Ending{State: State(reply.GetEnding()), Answer: answerFromWire(reply.GetAnswer())}
	default:
		return Grant{}, ErrUnavailable.New("the owner %q cannot decide the claim", peer.ID)
	}
	return grant, nil
}

// withdraw requests that the owner free a claim whose response was lost.
func (r *Router) withdraw(ctx context.Context, peer Peer, claim *peerpb.ClaimRequest) {
	event.ClaimWithdrawn.Log(ctx, r.logger, slog.String("owner", peer.ID), slog.Int("partition", int(claim.GetPartition())))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.options.CallTimeout/4)
	defer cancel()
	_, _ = r.owner(peer).Settle(ctx, &peerpb.SettleRequest{
		Partition: claim.GetPartition(), Key: claim.GetKey(), Claimant: claim.GetClaimant(), Ending: peerpb.Ending_NOT_RUN,
	})
}

// Settle reports to the owner how a granted request ended; see Claimer.
func (r *Router) Settle(ctx context.Context, grant Grant, ending Ending) error {
	partition := PartitionOf(grant.Key, r.options.Partitions)
	wire := &peerpb.SettleRequest{
		Partition: partition, Key: grant.Key[:], Epoch: grant.Epoch, Claimant: grant.Claimant,
		Ending: peerpb.Ending(ending.State), Answer: ending.Answer.ifWithin(r.options.AnswerLimit).wire(),
	}
	route := r.route(partition)
	route.prefer(grant.owner)
	err := error(ErrNotSettled.New("no owner of partition %d is reachable", partition))
	for range hopLimit {
		peer, ok := route.next()
		if !ok {
			break
		}
		err = r.sendSettle(ctx, peer, wire)
		if err == nil {
			return nil
		}
		if owner := ownerIn(err); owner != "" {
			route.redirect(owner)
		}
	}
	return ErrNotSettled.Wrap(err, "ending of a claim in partition %d", partition)
}

func (r *Router) sendSettle(ctx context.Context, peer Peer, wire *peerpb.SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	_, err := r.owner(peer).Settle(ctx, wire)
	return err
}

func ownerIn(err error) string {
	var failure twirp.Error
	if errors.As(err, &failure) {
		return failure.Meta(metaOwner)
	}
	return ""
}

// notSent reports whether a call certainly did not reach the other entry.
func notSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// route is the order in which entries are called for a partition.
type route struct {
	peers  map[string]Peer
	ranked []string
}

func (r *Router) route(partition uint32) *route {
	live := r.peers()
	ordered := &route{peers: make(map[string]Peer, len(live)), ranked: make([]string, 0, len(live))}
	for _, peer := range live {
		ordered.peers[peer.ID] = peer
		if !peer.Leaving {
			ordered.ranked = append(ordered.ranked, peer.ID)
		}
	}
	ordered.ranked = ownership.Rank(UnitOf(partition), ordered.ranked)
	ordered.prefer(r.holder(partition))
	return ordered
}

// setHolder caches which entry decides the claims of a partition; "" clears the cached
// entry.
func (r *Router) setHolder(partition uint32, holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders[partition] = holder
}

func (r *Router) holder(partition uint32) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holders[partition]
}

// next returns the next entry to call and removes it from the route.
func (r *route) next() (Peer, bool) {
	if len(r.ranked) == 0 {
		return Peer{}, false
	}
	id := r.ranked[0]
	r.ranked = r.ranked[1:]
	return r.peers[id], true
}

// redirect makes an entry the next one to call. An entry that is not live ends the route;
// "" changes nothing.
func (r *route) redirect(id string) {
	if id == "" {
		return
	}
	if _, live := r.peers[id]; !live {
		r.ranked = nil
		return
	}
	r.prefer(id)
}

// prefer makes an entry the next one to call if it is live.
func (r *route) prefer(id string) {
	if _, live := r.peers[id]; live {
		rest := slices.DeleteFunc(r.ranked, func(other string) bool { return other == id })
		r.ranked = append([]string{id}, rest...)
	}
}
