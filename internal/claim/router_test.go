package claim

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/memstore"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// scriptedOwner returns a fixed response and records the requests.
type scriptedOwner struct {
	reply     *peerpb.ClaimReply
	err       error
	claims    int
	claimants []string
	settles   []*peerpb.SettleRequest
}

func (s *scriptedOwner) Claim(_ context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	s.claims++
	s.claimants = append(s.claimants, request.GetClaimant())
	return s.reply, s.err
}

func (s *scriptedOwner) Settle(_ context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	s.settles = append(s.settles, request)
	return &peerpb.SettleReply{}, s.err
}

// newTestRouter returns a router of an entry that is itself not live. Two other entries are
// live, and one is leaving.
func newTestRouter(owners map[string]*scriptedOwner) *Router {
	peers := func() []Peer { return []Peer{{ID: "a"}, {ID: "b"}, {ID: "leaving", Leaving: true}} }
	return NewRouter("self", nil, peers, func(peer Peer) Owner { return owners[peer.ID] }, Options{Partitions: 1}, quiet)
}

func grantedReply() *peerpb.ClaimReply {
	return &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_GRANTED, Epoch: 3}
}

// rankedEntries returns the entry that a router calls first, and the other live entry.
func rankedEntries() (string, string) {
	ranked := ownership.Rank(UnitOf(0), []string{"a", "b"})
	return ranked[0], ranked[1]
}

func TestRouterTriesNextEntryWhenNothingWasSent(t *testing.T) {
	best, next := rankedEntries()
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	owners := map[string]*scriptedOwner{best: {err: twirp.InternalErrorWith(refused)}, next: {reply: grantedReply()}}
	grant, err := newTestRouter(owners).Claim(context.Background(), requestOf(1, "caller"))
	require.NoError(t, err)
	require.Equal(t, Granted, grant.Verdict)
	require.Empty(t, owners[best].settles)
}

func TestRouterWithdrawsClaimWhenTheResponseIsLost(t *testing.T) {
	best, next := rankedEntries()
	owners := map[string]*scriptedOwner{best: {err: errors.New("connection reset")}, next: {reply: grantedReply()}}
	_, err := newTestRouter(owners).Claim(context.Background(), requestOf(1, "caller"))
	require.True(t, errorx.IsOfType(err, ErrUnavailable))
	require.Zero(t, owners[next].claims)
	require.Len(t, owners[best].settles, 1)
	require.Equal(t, peerpb.Ending_NOT_RUN, owners[best].settles[0].GetEnding())
}

func TestRouterUsesNewClaimantAfterUnavailableOwner(t *testing.T) {
	best, next := rankedEntries()
	unavailable := &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_UNAVAILABLE}
	owners := map[string]*scriptedOwner{best: {reply: unavailable}, next: {reply: grantedReply()}}
	grant, err := newTestRouter(owners).Claim(context.Background(), requestOf(1, "caller"))
	require.NoError(t, err)
	require.Equal(t, Granted, grant.Verdict)
	require.Equal(t, owners[next].claimants, []string{grant.Claimant})
	require.NotEqual(t, owners[best].claimants, owners[next].claimants, "the first owner must not be able to free this grant later")
}

func TestRouterFollowsRedirectToTheHolder(t *testing.T) {
	best, _ := rankedEntries()
	owners := map[string]*scriptedOwner{
		best:      {reply: &peerpb.ClaimReply{Verdict: peerpb.ClaimReply_NOT_OWNER, Owner: "leaving"}},
		"leaving": {reply: grantedReply()},
	}
	router := newTestRouter(owners)
	grant, err := router.Claim(context.Background(), requestOf(1, "caller"))
	require.NoError(t, err)
	require.NoError(t, router.Settle(context.Background(), grant, Ending{State: Answered}))
	require.Len(t, owners["leaving"].settles, 1)
	owners[best].reply.Owner = "gone"
	_, err = newTestRouter(owners).Claim(context.Background(), requestOf(1, "caller"))
	require.True(t, errorx.IsOfType(err, ErrUnavailable))
}

func TestHandOverLetsAnotherEntryDecideImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, f := context.Background(), newFleet(2, Options{Partitions: 1})
		defer f.close()
		grant, err := f.claimer(0).Claim(ctx, requestOf(1, "caller"))
		require.NoError(t, err)
		require.NoError(t, f.claimer(0).Settle(ctx, grant, Ending{State: Answered}))
		for _, e := range f.entries {
			if e.id == grant.owner {
				e.server.HandOver(ctx)
				e.dead.Store(true)
			}
		}
		for entry := range f.entries {
			repeat, err := f.claimer(entry).Claim(ctx, requestOf(1, "caller"))
			require.NoError(t, err)
			require.Equal(t, Taken, repeat.Verdict)
			require.Equal(t, Answered, repeat.Prior.State)
		}
	})
}

// TestHolderThatIsNotRankedFirstIsCached covers a partition that is owned by an entry that is
// not ranked first, for example because the entry ranked first joined later. This must not
// cause a call to the platform's service for every claim.
func TestHolderThatIsNotRankedFirstIsCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, f := context.Background(), newFleet(2, Options{Partitions: 1})
		defer f.close()
		best := f.entries[0].router.route(0).ranked[0]
		holder, prober := f.entries[0], f.entries[1]
		if holder.id == best {
			holder, prober = prober, holder
		}
		key := requestOf(0, "").Key
		_, err := holder.server.Claim(ctx, &peerpb.ClaimRequest{Key: key[:], Fingerprint: make([]byte, 8), Claimant: "first"})
		require.NoError(t, err)
		for number := range 20 {
			grant, err := f.claimer(number%2).Claim(ctx, requestOf(number+1, "caller"))
			require.NoError(t, err)
			require.Equal(t, holder.id, grant.owner)
		}
		require.Equal(t, memstore.Calls{Reads: 1}, prober.store.Calls())
	})
}

func TestServerRejectsMalformedRequests(t *testing.T) {
	server := NewServer(nil, nil, Options{}, quiet, nil)
	key := requestOf(1, "").Key
	for _, request := range []*peerpb.ClaimRequest{
		{}, {Key: key[:3], Fingerprint: make([]byte, 8)}, {Key: key[:], Fingerprint: []byte{1}},
		{Key: key[:], Fingerprint: make([]byte, 8), Partition: PartitionOf(key, DefaultPartitions) + 1},
	} {
		_, err := server.Claim(context.Background(), request)
		require.Error(t, err)
	}
	for _, ending := range []peerpb.Ending{peerpb.Ending_ENDING_UNSPECIFIED, peerpb.Ending_RUNNING, 300} {
		_, err := server.Settle(context.Background(), &peerpb.SettleRequest{Key: key[:], Partition: PartitionOf(key, DefaultPartitions), Ending: ending})
		require.Error(t, err)
	}
}

// FuzzStored passes arbitrary stored data to the decoders.
func FuzzStored(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{8, 1, 16, 2, 50, 4, 10, 2, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		group, err := decodeGroup(storedValue(data))
		if err != nil {
			return
		}
		table := newTable(DefaultWindow, DefaultAnswersLimit)
		for _, stored := range group.GetRows() {
			_ = table.put(stored, time.Now())
		}
		require.LessOrEqual(t, table.count, len(group.GetRows()))
	})
}
