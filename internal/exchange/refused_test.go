package exchange

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusedConnectionsMarkMemberDeadAtOnce(t *testing.T) {
	n := newNetwork(3)
	a, b := n.states[0], n.states[1]
	n.exchange(a, b)
	a.Refused(n.now, "entry2")
	require.Len(t, a.Live(n.now), 2, "one refusal is not enough: the entry may be starting")
	a.Refused(n.now, "entry2")
	require.Len(t, a.Live(n.now), 1, "nothing listens at the address")
	n.exchange(a, b)
	require.Len(t, b.Live(n.now), 2, "refusals seen by another entry only cause suspicion")
	require.Equal(t, "entry2", b.Targets(n.now, 1, rand.New(rand.NewPCG(1, 1)))[0].ID, "the suspicion is verified in the next round")
	b.Refused(n.now, "entry2")
	require.Len(t, b.Live(n.now), 1)
	n.exchange(n.states[2], a) // entry2 contacts a, so it is alive again
	require.Len(t, a.Live(n.now), 2)
}

// TestLaterHeartbeatFromPeerDoesNotReviveDeadEntry checks that an entry that refuses
// connections stays dead when a peer reports a higher heartbeat, which the peer received
// shortly before the entry died.
func TestLaterHeartbeatFromPeerDoesNotReviveDeadEntry(t *testing.T) {
	n := newNetwork(3)
	a, b := n.states[0], n.states[1]
	n.exchange(a, b)
	n.states[2].Tick(n.now)
	n.exchange(n.states[2], b) // b receives a later heartbeat than a
	a.Refused(n.now, "entry2")
	a.Refused(n.now, "entry2")
	n.exchange(b, a)
	require.Len(t, a.Live(n.now), 1)
}
