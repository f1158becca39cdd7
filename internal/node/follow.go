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

// Changes are batched for these times before the next watch call, which saves calls
// to the store. Both are far below the time limits for noticing draining endpoints
// and dead nodes.
const (
	endpointBatchDelay = 300 * time.Millisecond
	clusterBatchDelay  = 40 * time.Millisecond
)

// followers returns the followers that keep the node up to date with the store.
func (n *Node) followers() []*metastore.Follower {
	return []*metastore.Follower{
		n.follower(platform.KeyOperator, 0, n.operatorChanged, func() {}),
		n.follower(platform.KeyEndpoints, endpointBatchDelay, n.endpointChanged, n.endpointsSettled),
		n.follower(cluster.Prefix, clusterBatchDelay, n.cluster.Changed, n.cluster.Settled),
	}
}

// follower returns a follower that passes the changes of one prefix to changed and
// stores them in this node's cache of the prefix.
func (n *Node) follower(prefix string, batchDelay time.Duration, changed func(metastore.Event), settled func()) *metastore.Follower {
	cache := n.caches[prefix]
	source := &followedStore{Store: n.store, hubs: n.hubs, timing: n.watchTimingOf(prefix)}
	f := &metastore.Follower{
		Store: source, Prefix: prefix, BatchDelay: batchDelay, Logger: n.logger, Settled: settled,
		Changed: func(e metastore.Event) {
			cache.Changed(e)
			changed(e)
		},
		Listed: cache.Listed,
		Confirmed: func(position int64) {
			cache.Confirmed(position, source.confirmed(), source.upTo)
			source.timing.confirmed(source.upTo)
		},
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
		n.versionChanged(ctx, e)
	case platform.RetireRecord:
		if !e.Deleted {
			n.retire.requested(platform.RetiredInstance(e.Key))
		}
	case platform.OtherRecord:
	}
}

func (n *Node) configurationChanged(ctx context.Context, e metastore.Event) {
	if e.Deleted {
		return // the configuration in force remains
	}
	configuration, err := platform.DecodeConfiguration(e.Value)
	if err != nil {
		event.RecordSkipped.Log(ctx, n.logger, slog.String("key", e.Key), slog.String("cause", err.Error()))
		return
	}
	if n.routes.Offer(configuration) {
		event.ConfigurationInForce.Log(ctx, n.logger, slog.Int64("version", configuration.Version), slog.Int64("revision", e.Revision))
		n.wantUnits()
	}
}

func (n *Node) versionChanged(ctx context.Context, e metastore.Event) {
	if e.Deleted {
		return
	}
	named, err := platform.DecodeVersion(e.Key, e.Value)
	if err != nil {
		event.RecordSkipped.Log(ctx, n.logger, slog.String("key", e.Key), slog.String("cause", err.Error()))
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
		event.RecordSkipped.Log(context.Background(), n.logger, slog.String("key", e.Key), slog.String("cause", err.Error()))
		n.directory.Remove(platform.EndpointID(e.Key))
		return
	}
	n.directory.Set(endpoint)
}

func (n *Node) endpointsSettled() {
	n.directory.Publish()
	n.listed.Store(true)
}

// retireResponder answers requests to empty an instance. The service keeps no
// persistent data on instances, so each of them is reported as empty at once.
type retireResponder struct {
	node    *Node
	mu      sync.Mutex
	handled map[string]struct{}
}

// Times and number of attempts for writing the answer to a retire request.
const (
	retireTimeout    = time.Second
	retireRetryDelay = 300 * time.Millisecond
	retireAttempts   = 100
	// retireJitter is the longest random delay before the write, so that the nodes
	// do not all write the same answer at once.
	retireJitter = 400 * time.Millisecond
)

func (r *retireResponder) requested(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.handled[instance]; known {
		return
	}
	r.handled[instance] = struct{}{}
	go r.answer(instance)
}

func (r *retireResponder) answer(instance string) {
	time.Sleep(rand.N(retireJitter))
	key, value := platform.RetireStatus(instance)
	for range retireAttempts {
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
		time.Sleep(retireRetryDelay)
	}
}

// sortByZone moves the nodes of the given failure domain to the front. The order
// within each of the two groups is random.
func sortByZone(nodes []cluster.Node, zone string) {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b cluster.Node) int { return cmp.Compare(zoneDistance(a, zone), zoneDistance(b, zone)) })
}

func zoneDistance(node cluster.Node, zone string) int {
	if node.Zone == zone {
		return 0
	}
	return 1
}
