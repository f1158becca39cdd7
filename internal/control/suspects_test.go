package control

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// recordingPeers records the news sent to each address; one address is unreachable.
type recordingPeers struct {
	mu          sync.Mutex
	received    map[string]*peerpb.News
	unreachable string
}

func (r *recordingPeers) Exchange(_ context.Context, address string, news *peerpb.News) (*peerpb.News, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address == r.unreachable {
		return nil, exchange.ErrUnreachable.New("peer at %s", address)
	}
	r.received[address] = news
	return &peerpb.News{}, nil
}

func TestSuspectsReachAllOtherPeers(t *testing.T) {
	peers := &recordingPeers{received: map[string]*peerpb.News{}, unreachable: "c:1"}
	snapshots := &Snapshots{}
	snapshots.Publish(&Snapshot{Peers: []Peer{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}, {ID: "d", Address: "d:1"}}})
	m := &Manager{options: Options{ID: "a", Peers: peers, Snapshots: snapshots}}
	rows := []*peerpb.Suspect{{Deaths: 1}}
	m.SpreadSuspects(rows)
	require.Len(t, peers.received, 2)
	for _, address := range []string{"b:1", "d:1"} {
		require.Equal(t, rows, peers.received[address].GetSuspects())
		require.Equal(t, "a", peers.received[address].GetFrom())
	}
}
