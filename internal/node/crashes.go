package node

import (
	"context"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
)

// brokenTimeout bounds a report of a broken run.
const brokenTimeout = time.Second

// counterOf returns the node that counts the broken runs of a request for all nodes, by
// rendezvous hashing, so that nodes that see the same others choose the same one.
func counterOf(fingerprint uint64, nodes []cluster.Node) cluster.Node {
	var counter cluster.Node
	var highest uint64
	for _, node := range nodes {
		key := binary.BigEndian.AppendUint64([]byte(node.Name), fingerprint)
		if score := xxhash.Sum64(key); score >= highest {
			counter, highest = node, score
		}
	}
	return counter
}

// reportBroken reports a broken run to the node that counts them, unless that is this one.
func (n *Node) reportBroken(fingerprint uint64) {
	self := n.cluster.Self()
	counter := counterOf(fingerprint, append(n.cluster.Nodes(), self))
	if counter.Name == self.Name {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), brokenTimeout)
		defer cancel()
		if _, err := n.peers.clientFor(counter.Address).Crashed(ctx, &nodepb.CrashedRequest{Fingerprint: fingerprint, Broken: true}); err != nil {
			event.PeerCallFailed.Log(ctx, n.logger, slog.String("peer", counter.Name), slog.String("cause", err.Error()))
		}
	}()
}
