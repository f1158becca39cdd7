package node

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/platform"
)

// How long changes are gathered before the next watch, which saves calls. Both
// stay far under the bounds for draining endpoints and dead nodes.
const (
	gatherEndpoints = 300 * time.Millisecond
	gatherCluster   = 40 * time.Millisecond
)

// followers returns what keeps the node up to date with the store.
func (n *Node) followers() []*metastore.Follower {
	return []*metastore.Follower{
		n.follower(platform.KeyOperator, 0, n.operatorChanged, func() {}),
		n.follower(platform.KeyEndpoints, gatherEndpoints, n.endpointChanged, n.endpointsSettled),
		n.follower(cluster.Prefix, gatherCluster, n.cluster.Changed, n.cluster.Settled),
	}
}

// follower returns what keeps a consumer of one prefix up to date, and this
// node's cache of it.
func (n *Node) follower(prefix string, gather time.Duration, changed func(metastore.Event), settled func()) *metastore.Follower {
	cache := n.caches[prefix]
	source := &followed{Store: n.store, hubs: n.hubs}
	f := &metastore.Follower{
		Store: source, Prefix: prefix, Gather: gather, Logger: n.logger, Settled: settled,
		Changed: func(e metastore.Event) {
			cache.Changed(e)
			changed(e)
		},
		Listed:    cache.Listed,
		Confirmed: func(position int64) { cache.Confirmed(position, source.confirmed()) },
	}
	if prefix == platform.KeyEndpoints {
		f.Lost = func(error) { n.directory.StoreLost() }
		f.Regained = n.directory.StoreRegained
	}
	return f
}

func (n *Node) operatorChanged(e metastore.Event) {
	ctx := context.Background()
	switch platform.RecordOf(e.Key) {
	case platform.ConfigurationRecord:
		n.configurationChanged(ctx, e)
	case platform.VersionRecord:
		n.versionNamed(ctx, e)
	case platform.RetireRecord:
		if !e.Deleted {
			n.retire.asked(platform.RetiredInstance(e.Key))
		}
	case platform.OtherRecord:
	}
}

func (n *Node) configurationChanged(ctx context.Context, e metastore.Event) {
	if e.Deleted {
		return // the configuration in force stays
	}
	configuration, err := platform.DecodeConfiguration(e.Value)
	if err != nil {
		event.RecordBroken.Log(ctx, n.logger, slog.String("key", e.Key), slog.String("cause", err.Error()))
		return
	}
	if n.routes.Offer(configuration) {
		event.ConfigurationInForce.Log(ctx, n.logger, slog.Int64("version", configuration.Version), slog.Int64("revision", e.Revision))
		n.wantUnits()
	}
}

func (n *Node) versionNamed(ctx context.Context, e metastore.Event) {
	if e.Deleted {
		return
	}
	named, err := platform.DecodeVersion(e.Key, e.Value)
	if err != nil {
		event.RecordBroken.Log(ctx, n.logger, slog.String("key", e.Key), slog.String("cause", err.Error()))
		return
	}
	if n.targets.Raise(named.Model, named.Version) {
		n.wantUnits()
		n.fleetChanged()
	}
}

func (n *Node) endpointChanged(e metastore.Event) {
	if e.Deleted {
		n.directory.Remove(platform.EndpointID(e.Key))
		return
	}
	endpoint, err := platform.DecodeEndpoint(e.Key, e.Value)
	if err != nil {
		event.RecordBroken.Log(context.Background(), n.logger, slog.String("key", e.Key), slog.String("cause", err.Error()))
		n.directory.Remove(platform.EndpointID(e.Key))
		return
	}
	n.directory.Set(endpoint)
}

func (n *Node) endpointsSettled() {
	n.directory.Publish()
	n.listed.Store(true)
}

// retiring answers requests to empty an instance. Nothing that must last stands
// on any, so each is empty at once.
type retiring struct {
	node *Node
	mu   sync.Mutex
	seen map[string]struct{}
}

// Times of the answer.
const (
	retireTimeout = time.Second
	retirePause   = 300 * time.Millisecond
	retireTries   = 100
	// retireSpread keeps the nodes from writing the same answer at once.
	retireSpread = 400 * time.Millisecond
)

func (r *retiring) asked(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.seen[instance]; known {
		return
	}
	r.seen[instance] = struct{}{}
	go r.answer(instance)
}

func (r *retiring) answer(instance string) {
	time.Sleep(rand.N(retireSpread))
	key, value := platform.RetireStatus(instance)
	for range retireTries {
		ctx, cancel := context.WithTimeout(context.Background(), retireTimeout)
		_, err := r.node.store.Get(ctx, key)
		if errorx.IsOfType(err, metastore.ErrNotFound) {
			_, err = r.node.store.Commit(ctx, metastore.Txn{
				Conditions: []metastore.Condition{{Key: key}}, Puts: []metastore.Put{{Key: key, Value: value}},
			})
		}
		cancel()
		if err == nil || errorx.IsOfType(err, metastore.ErrConflict) {
			event.RetireWritten.Log(context.Background(), r.node.logger, slog.String("instance", instance))
			return
		}
		time.Sleep(retirePause)
	}
}

// sortNear puts the nodes of a failure domain first, each part in random order.
func sortNear(nodes []cluster.Node, zone string) {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b cluster.Node) int { return cmp.Compare(far(a, zone), far(b, zone)) })
}

func far(node cluster.Node, zone string) int {
	if node.Zone == zone {
		return 0
	}
	return 1
}
