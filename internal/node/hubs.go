package node

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/relay"
	"github.com/comfreyfront/comfreyfront/internal/watchcache"
)

// A few nodes, the hubs, watch the store; the others watch a hub. Watches of the
// store would else grow with the fleet.
const (
	// leastHubs and nodesPerHub give the number of hubs.
	leastHubs   = 2
	nodesPerHub = 32
	// hubWait is how long a hub's watch of the store waits: short, since many
	// depend on it and a store that dropped its history leaves watches silent.
	hubWait = time.Second
	// hubFresh is how long a hub answers after the store last confirmed what it
	// knows.
	hubFresh = hubWait + 700*time.Millisecond
	// followWait is how long a watch of a hub waits, and followSlack what the
	// answer may take beyond: a hub that falls silent is left well within the
	// bound for a new configuration.
	followWait  = 800 * time.Millisecond
	followSlack = 300 * time.Millisecond
	// hubPause is how long a hub that did not answer in time is not asked again.
	hubPause = 3 * time.Second
	// hubRetry is how long one is not asked that refused at once: it starts, or the
	// store does not confirm what it knows. Watching the store beside it would only
	// add calls that fail as well.
	hubRetry = 300 * time.Millisecond
)

// hubs chooses whom this node watches. It is safe for concurrent use.
type hubs struct {
	cluster *cluster.Cluster
	peers   *peers

	mu     sync.Mutex
	failed map[string]time.Time // until when a hub is not asked, by node
}

// hubRank orders the nodes; the first are hubs.
func hubRank(node string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte("hub\x00" + node)) // never fails
	return hash.Sum32()
}

// choose returns the hub that this node watches; false when it watches the store
// itself.
func (h *hubs) choose() (cluster.Node, bool) {
	self := h.cluster.Self()
	all := append(h.cluster.Nodes(), self)
	slices.SortFunc(all, func(a, b cluster.Node) int {
		return cmp.Or(cmp.Compare(hubRank(a.Name), hubRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	chosen := all[:min(len(all), max(leastHubs, len(all)/nodesPerHub))]
	if !h.cluster.Listed() || slices.ContainsFunc(chosen, func(n cluster.Node) bool { return n.Name == self.Name }) {
		return cluster.Node{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var usable []cluster.Node
	for _, node := range chosen {
		if !node.Leaving && time.Now().After(h.failed[node.Name]) {
			usable = append(usable, node)
		}
	}
	if len(usable) == 0 {
		return cluster.Node{}, false
	}
	// The same node keeps to the same hub; near ones first.
	slices.SortFunc(usable, func(a, b cluster.Node) int {
		return cmp.Or(cmp.Compare(far(a, self.Zone), far(b, self.Zone)),
			cmp.Compare(hubRank(self.Name+a.Name), hubRank(self.Name+b.Name)))
	})
	return usable[0], true
}

// fail notes that a hub did not help in a call that began then.
func (h *hubs) fail(node cluster.Node, began time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed == nil {
		h.failed = map[string]time.Time{}
	}
	now := time.Now()
	pause := hubRetry
	if now.Sub(began) >= followWait {
		pause = hubPause
	}
	h.failed[node.Name] = now.Add(pause)
}

// followed is the store as the follower of one prefix reads it: through a hub, or
// directly. It remembers which way the last answer came.
type followed struct {
	*relay.Store
	hubs *hubs
	// direct and late are read and written by the follower's goroutine only.
	direct bool
	// late: the range was read late, and no watch of the store has told since
	// what that reading lacks.
	late bool
}

// firstWatch is how long the watch after a late reading waits: this node's cache
// answers others only once the store confirmed it.
const firstWatch = time.Millisecond

// confirmed reports whether the store itself vouches for what the last answer
// completed.
func (f *followed) confirmed() bool { return f.direct && !f.late }

// Range implements metastore.Store.
func (f *followed) Range(ctx context.Context, prefix, after string) (metastore.Page, error) {
	return f.read(ctx, prefix, after, f.Store.Range)
}

// RangeStale implements metastore.StaleReader.
func (f *followed) RangeStale(ctx context.Context, prefix, after string) (metastore.Page, error) {
	page, err := f.read(ctx, prefix, after, f.Store.RangeStale)
	f.late = f.direct
	return page, err
}

// read reads a page from a hub, or else directly.
func (f *followed) read(ctx context.Context, prefix, after string, direct func(context.Context, string, string) (metastore.Page, error)) (metastore.Page, error) {
	if hub, ok := f.hubs.choose(); ok {
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, followWait)
		page, err := f.hubs.peers.cached(hub).Range(callCtx, prefix, after)
		cancel()
		if err == nil {
			f.direct = false
			return page, nil
		}
		f.hubs.fail(hub, began)
	}
	f.direct = true
	return direct(ctx, prefix, after)
}

// Watch implements metastore.Store.
func (f *followed) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	if hub, ok := f.hubs.choose(); ok {
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, followWait+followSlack)
		events, revision, err := f.hubs.peers.cached(hub).Watch(callCtx, prefix, after, min(wait, followWait))
		cancel()
		if err == nil || errorx.IsOfType(err, metastore.ErrCompacted) {
			f.direct, f.late = false, false
			return events, revision, err
		}
		f.hubs.fail(hub, began)
	}
	f.direct = true
	if f.late {
		wait = firstWatch
	}
	events, revision, err := f.Store.Watch(ctx, prefix, after, min(wait, hubWait))
	if err == nil {
		f.late = false
	}
	return events, revision, err
}

// cached returns what another node follows of the store.
func (p *peers) cached(node cluster.Node) metastore.Store {
	return &peerStore{client: p.dial(node.Address), cached: true}
}

// caches are a node's own by prefix.
type caches map[string]*watchcache.Cache

// serve answers another node from what this one follows.
func (c caches) serve(ctx context.Context, request *nodepb.StoreRequest) *nodepb.StoreReply {
	for prefix, cache := range c {
		if strings.HasPrefix(request.GetKey(), prefix) {
			return serveStore(ctx, cachedStore{cache: cache}, request)
		}
	}
	return &nodepb.StoreReply{Failure: nodepb.StoreReply_UNAVAILABLE, Detail: "the prefix is not followed"}
}

// cachedStore shows a cache as a store of which only ranges and watches are asked.
type cachedStore struct {
	metastore.Store
	cache *watchcache.Cache
}

// Range implements metastore.Store.
func (s cachedStore) Range(_ context.Context, prefix, after string) (metastore.Page, error) {
	return s.cache.Range(prefix, after)
}

// Watch implements metastore.Store.
func (s cachedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	return s.cache.Watch(ctx, prefix, after, wait)
}
