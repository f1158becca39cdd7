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
	"github.com/comfreyfront/comfreyfront/internal/freshness"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/relay"
	"github.com/comfreyfront/comfreyfront/internal/watchcache"
	"github.com/comfreyfront/comfreyfront/platform"
)

// A few nodes, the hubs, watch the store, and the other nodes watch a hub.
// Otherwise the number of watches on the store would grow with the number of nodes.
const (
	// minHubs and nodesPerHub determine the number of hubs.
	minHubs     = 2
	nodesPerHub = 32
	// hubWatchWait is how long a hub's watch call waits in the store. It is short
	// because many nodes depend on it, and because a store that compacted its
	// history may leave a watch without a response.
	hubWatchWait = time.Second
	// hubMaxAge is how long a hub serves its cached data after the store last
	// confirmed it.
	hubMaxAge = hubWatchWait + 700*time.Millisecond
	// hubCallWait is how long a watch call on a hub waits, and hubCallSlack how
	// much longer the response may take. A hub that becomes unresponsive is
	// abandoned well within the time limit for applying a new configuration.
	hubCallWait  = 800 * time.Millisecond
	hubCallSlack = 300 * time.Millisecond
	// hubTimeoutPause is how long a hub is skipped after a call that timed out.
	hubTimeoutPause = 3 * time.Second
	// hubRefusalPause is how long a hub is skipped after it refused a call at once:
	// it is starting, or the store does not confirm its data. Watching the store
	// directly at that time would only add calls that fail as well.
	hubRefusalPause = 300 * time.Millisecond
)

// hubs chooses the hub that this node watches. It is safe for concurrent use.
type hubs struct {
	cluster *cluster.Cluster
	peers   *peers
	// now is the clock of the calls; nil means freshness.Now.
	now func() freshness.Instant

	mu          sync.Mutex
	pausedUntil map[string]time.Time // when a hub may be called again, by node name
}

// hubRank returns the sort key that determines which nodes are hubs: those with the
// lowest ranks.
func hubRank(node string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte("hub\x00" + node)) // never fails
	return hash.Sum32()
}

// instant returns the current instant.
func (h *hubs) instant() freshness.Instant {
	if h.now == nil {
		return freshness.Now()
	}
	return h.now()
}

// choose returns the hub that this node watches, or false if the node watches the
// store itself.
func (h *hubs) choose() (cluster.Node, bool) {
	self := h.cluster.Self()
	nodes := append(h.cluster.Nodes(), self)
	slices.SortFunc(nodes, func(a, b cluster.Node) int {
		return cmp.Or(cmp.Compare(hubRank(a.Name), hubRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	hubNodes := nodes[:min(len(nodes), max(minHubs, len(nodes)/nodesPerHub))]
	if !h.cluster.Listed() || slices.ContainsFunc(hubNodes, func(n cluster.Node) bool { return n.Name == self.Name }) {
		return cluster.Node{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var usable []cluster.Node
	for _, node := range hubNodes {
		if !node.Leaving && time.Now().After(h.pausedUntil[node.Name]) {
			usable = append(usable, node)
		}
	}
	if len(usable) == 0 {
		return cluster.Node{}, false
	}
	// Prefer hubs in the same failure domain. The hash keeps the choice of a node stable.
	slices.SortFunc(usable, func(a, b cluster.Node) int {
		return cmp.Or(cmp.Compare(zoneDistance(a, self.Zone), zoneDistance(b, self.Zone)),
			cmp.Compare(hubRank(self.Name+a.Name), hubRank(self.Name+b.Name)))
	})
	return usable[0], true
}

// markFailed excludes a hub for a while after a failed call that began at start.
// The pause is longer if the call timed out or took as long as a call that waits.
func (h *hubs) markFailed(node cluster.Node, start time.Time, timedOut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pausedUntil == nil {
		h.pausedUntil = map[string]time.Time{}
	}
	now := time.Now()
	pause := hubRefusalPause
	if timedOut || now.Sub(start) >= hubCallWait {
		pause = hubTimeoutPause
	}
	h.pausedUntil[node.Name] = now.Add(pause)
}

// responsive returns the nodes without the hubs that are skipped because of a failed call,
// or all nodes if no other remains.
func (h *hubs) responsive(nodes []cluster.Node) []cluster.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var usable []cluster.Node
	for _, node := range nodes {
		if !time.Now().Before(h.pausedUntil[node.Name]) {
			usable = append(usable, node)
		}
	}
	if len(usable) == 0 {
		return nodes
	}
	return usable
}

// followedStore is the store as the follower of one prefix reads it, through a hub
// or directly. It records whether the last response came directly from the store.
type followedStore struct {
	*relay.Store
	hubs *hubs
	// direct and stale are accessed by the follower's goroutine only. direct is
	// true if the last response came from the store itself.
	direct bool
	// stale is true if the range may have been read from outdated data and no watch
	// of the store has since returned the missing changes.
	stale bool
	// upTo is the instant up to which the last response contains all changes.
	upTo freshness.Instant
	// timing bounds the watches of the prefix.
	timing watchTiming
}

// confirmingWatchWait is how long the watch after a stale read waits. It is short
// because this node's cache serves other nodes only after the store has confirmed
// its contents.
const confirmingWatchWait = time.Millisecond

// confirmed reports whether the store itself has confirmed the data up to the last
// response.
func (f *followedStore) confirmed() bool { return f.direct && !f.stale }

// Range implements metastore.Store.
func (f *followedStore) Range(ctx context.Context, prefix, after string) (metastore.Page, error) {
	page, sent, err := f.read(ctx, prefix, after, f.Store.Range)
	f.pageRead(after, sent)
	return page, err
}

// RangeStale implements metastore.StaleReader.
func (f *followedStore) RangeStale(ctx context.Context, prefix, after string) (metastore.Page, error) {
	page, sent, err := f.read(ctx, prefix, after, f.Store.RangeStale)
	f.stale = f.direct
	if f.stale {
		sent = freshness.None
	}
	f.pageRead(after, sent)
	return page, err
}

// pageRead records the instant that the page after a key confirms. A range is as old as the
// oldest of its pages.
func (f *followedStore) pageRead(after string, upTo freshness.Instant) {
	if after != "" {
		upTo = freshness.OfPages(f.upTo, upTo)
	}
	f.upTo = upTo
}

// read reads a page from a hub or, if there is none or it fails, directly with the
// given function. It returns the instant up to which the page contains all changes if it is
// not stale.
func (f *followedStore) read(ctx context.Context, prefix, after string, direct func(context.Context, string, string) (metastore.Page, error)) (metastore.Page, freshness.Instant, error) {
	if hub, ok := f.hubs.choose(); ok {
		start, sent := time.Now(), f.hubs.instant()
		store := f.hubs.peers.cacheOf(hub)
		callCtx, cancel := context.WithTimeout(ctx, hubCallWait)
		page, err := store.Range(callCtx, prefix, after)
		timedOut := callCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil {
			f.direct = false
			return page, freshness.OfReply(sent, store.age), nil
		}
		f.hubs.markFailed(hub, start, timedOut)
	}
	f.direct = true
	sent := f.hubs.instant()
	page, err := direct(ctx, prefix, after)
	return page, sent, err
}

// Watch implements metastore.Store.
func (f *followedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	if hub, ok := f.hubs.choose(); ok {
		start, sent := time.Now(), f.hubs.instant()
		store := f.hubs.peers.cacheOf(hub)
		callCtx, cancel := context.WithTimeout(ctx, f.timing.hubWait(wait)+hubCallSlack)
		events, revision, err := store.Watch(callCtx, prefix, after, min(wait, hubCallWait))
		timedOut := callCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || errorx.IsOfType(err, metastore.ErrCompacted) {
			f.direct, f.stale = false, false
			f.upTo = freshness.OfReply(sent, store.age)
			return events, revision, err
		}
		f.hubs.markFailed(hub, start, timedOut)
	}
	f.direct = true
	sent := f.hubs.instant()
	if f.stale || f.timing.overdue(sent) {
		wait = confirmingWatchWait
	}
	wait = min(wait, f.timing.wait())
	ctx, cancel := f.timing.withTimeout(ctx, wait)
	defer cancel()
	events, revision, err := f.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		f.stale, f.upTo = false, sent
	}
	return events, revision, err
}

// cacheOf returns a store that reads from the caches of another node. It is for one call.
func (p *peers) cacheOf(node cluster.Node) *peerStore {
	return &peerStore{client: p.clientFor(node.Address), cached: true}
}

// caches maps each followed prefix to this node's cache of it.
type caches map[string]*watchcache.Cache

// newCaches returns the caches of the followed prefixes. If prompt is true, watches of the
// operator's records return as soon as the store confirms them; see watchcache.Cache.Promptly.
func newCaches(prompt bool) caches {
	c := caches{
		platform.KeyOperator:  watchcache.New(hubMaxAge),
		platform.KeyEndpoints: watchcache.New(hubMaxAge),
		cluster.Prefix:        watchcache.New(hubMaxAge),
	}
	if prompt {
		c[platform.KeyOperator].Promptly()
	}
	return c
}

// serve answers a request of another node that arrived at the given instant from the cache
// of the key's prefix.
func (c caches) serve(ctx context.Context, request *nodepb.StoreRequest, arrived freshness.Instant) *nodepb.StoreReply {
	for prefix, cache := range c {
		if strings.HasPrefix(request.GetKey(), prefix) {
			store := &cachedStore{cache: cache}
			reply := serveStore(ctx, store, request)
			reply.AgeUs = freshness.ReplyAge(arrived, store.upTo)
			return reply
		}
	}
	return &nodepb.StoreReply{Failure: nodepb.StoreReply_UNAVAILABLE, Detail: "the prefix is not followed"}
}

// cachedStore adapts a cache to metastore.Store. Only Range and Watch may be
// called. It is for one call.
type cachedStore struct {
	metastore.Store
	cache *watchcache.Cache
	// upTo is the instant up to which the response contains all changes.
	upTo freshness.Instant
}

// Range implements metastore.Store.
func (s *cachedStore) Range(_ context.Context, prefix, after string) (page metastore.Page, err error) {
	page, s.upTo, err = s.cache.Range(prefix, after)
	return page, err
}

// Watch implements metastore.Store.
func (s *cachedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]metastore.Event, int64, error) {
	changes, err := s.cache.Watch(ctx, prefix, after, wait)
	s.upTo = changes.UpTo
	return changes.Events, changes.Position, err
}
