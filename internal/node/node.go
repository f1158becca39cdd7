// Package node puts a process on the platform together: it follows the
// platform's records, serves callers, owns units and talks to other nodes.
package node

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/forward"
	"github.com/comfreyfront/comfreyfront/internal/logging"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/relay"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/internal/watchcache"
	"github.com/comfreyfront/comfreyfront/internal/weights"
	"github.com/comfreyfront/comfreyfront/platform"
)

// Limits of the process.
const (
	// memoryShare is the share of the instance's memory that the collector
	// keeps the heap under.
	memoryShare = 0.6
	// collectPercent makes the heap small: memory is dearer than the time to
	// collect it.
	collectPercent = 60
	// shutdownShare is the share of the grace time in which calls in flight may
	// end.
	shutdownShare    = 0.75
	peerIdleTimeout  = 30 * time.Second
	peerConnsPerHost = 4
	// relayPeers is how many peers one call to the store goes through at most.
	relayPeers = 2
)

// Node is one process on the platform.
type Node struct {
	chosen *settings.Node
	logger *slog.Logger
	// direct is the metadata store as this node itself reaches it, and store
	// goes through peers while that fails.
	direct      *platform.StoreClient
	store       *relay.Store
	routes      *route.Holder
	directory   *fleet.Directory
	targets     *weights.Targets
	cluster     *cluster.Cluster
	submissions *submission.Service
	forward     *forward.Service
	crashes     *forward.Crashes
	endpoints   *platform.EndpointClient
	peers       *peers
	metrics     *nodeMetrics
	figures     routereport.Recorder
	registry    *prometheus.Registry
	retire      retiring
	hubs        *hubs
	caches      caches

	started  time.Time
	listed   atomic.Bool // the directory was read once
	draining atomic.Bool

	mu      sync.Mutex
	running map[string]*unitRun // owned units
}

// Run serves until ctx ends and everything in flight is finished.
//
// Reload is read whenever something may have changed the settings.
func Run(ctx context.Context, chosen *settings.Node, reload Reload, out io.Writer) error {
	level, err := chosen.Level()
	if err != nil {
		return err
	}
	var threshold slog.LevelVar
	threshold.Set(level)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(chosen.MemoryMB) * (1 << 20)))
	writer := logging.NewWriter(out)
	defer writer.Close()
	handler := logging.NewHandler(slog.NewTextHandler(writer, &slog.HandlerOptions{Level: &threshold}), writer)
	logger := slog.New(handler).With(slog.String("node", chosen.Name))
	go watchSettings(ctx, chosen, reload, &threshold, logger)
	open, err := listen(chosen)
	if err != nil {
		return err
	}
	return build(chosen, logger).run(ctx, open)
}

func build(chosen *settings.Node, logger *slog.Logger) *Node {
	n := &Node{
		chosen:    chosen,
		logger:    logger,
		routes:    &route.Holder{},
		directory: fleet.NewDirectory(logger),
		targets:   &weights.Targets{},
		crashes:   &forward.Crashes{},
		endpoints: platform.NewEndpointClient(),
		registry:  prometheus.NewRegistry(),
		started:   time.Now(),
		running:   map[string]*unitRun{},
	}
	n.metrics = newNodeMetrics(n.registry)
	n.peers = newPeers(&http.Transport{
		DialContext:         platform.Dialer().DialContext,
		MaxIdleConnsPerHost: peerConnsPerHost,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	})
	n.direct = platform.NewStoreClient(chosen.StoreAddress)
	n.store = relay.New(n.direct, n.relays, n.awaited)
	n.cluster = cluster.New(cluster.Options{
		Self: cluster.Node{
			Name: chosen.Name, Address: chosen.PeerListen, Zone: chosen.FailureDomain, Incarnation: time.Now().UnixNano(),
			Capacity: chosen.Capacity,
		},
		Store:    n.store,
		Pinger:   n.peers,
		TTL:      chosen.LeaseTTL,
		Logger:   logger,
		Open:     func(e metastore.Event) { n.submissions.Changed(e) },
		Acquired: n.gained,
		Lost:     n.lost,
	})
	n.submissions = submission.NewService(submission.Options{
		Store: n.store, Cluster: n.cluster, Peers: n.peers, OwnershipConfirmed: n.cluster.Confirmed, Logger: logger,
	})
	n.forward = &forward.Service{
		Directory: n.directory, Caller: n.endpoints, Streamer: n.endpoints, Crashes: n.crashes,
		Zone: chosen.FailureDomain, Logger: logger,
	}
	n.hubs = &hubs{cluster: n.cluster, peers: n.peers}
	n.caches = caches{
		platform.KeyOperator:  watchcache.New(hubFresh),
		platform.KeyEndpoints: watchcache.New(hubFresh),
		cluster.Prefix:        watchcache.New(hubFresh),
	}
	n.crashes.Tell = n.tellCrash
	n.directory.Changed = n.fleetChanged
	n.retire = retiring{node: n, seen: map[string]struct{}{}}
	return n
}

// awaited reports whether callers or other nodes wait for this one to reach the
// store: it cannot serve yet, or owns a unit.
func (n *Node) awaited() bool { return n.routes.Load() == nil || n.owns() }

// relays returns the store as other nodes reach it.
func (n *Node) relays() []metastore.Store {
	nodes := n.cluster.Nodes()
	sortNear(nodes, n.chosen.FailureDomain)
	var stores []metastore.Store
	for _, node := range nodes[:min(len(nodes), relayPeers)] {
		stores = append(stores, n.peers.storeThrough(node))
	}
	return stores
}

// tellCrash tells all other nodes of a request that crashes endpoints.
func (n *Node) tellCrash(fingerprint uint64, life time.Duration) {
	for _, node := range n.cluster.Nodes() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := n.peers.crashed(ctx, node, fingerprint, life); err != nil {
				event.PeerNotHeard.Log(ctx, n.logger, slog.String("peer", node.Name), slog.String("cause", err.Error()))
			}
		}()
	}
}

// fleetChanged looks again at what waits for endpoints.
func (n *Node) fleetChanged() {
	n.submissions.Poke()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, unit := range n.running {
		unit.weights.Poke()
	}
}

// run serves on the listeners until ctx ends, and then leaves.
func (n *Node) run(ctx context.Context, open listeners) error {
	event.NodeStarted.Log(ctx, n.logger, slog.String("failure_domain", n.chosen.FailureDomain),
		slog.String("listen", n.chosen.Listen), slog.String("peer_listen", n.chosen.PeerListen), slog.String("store", n.chosen.StoreAddress))
	lasting, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := newFront(n)
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ErrorLog: quiet()}
	peer := &http.Server{Handler: n.peerHandler(), IdleTimeout: peerIdleTimeout, ErrorLog: quiet()}
	metrics := &http.Server{Handler: n.metricsHandler(), ErrorLog: quiet()}
	group, running := errgroup.WithContext(lasting)
	if open.metrics != nil {
		group.Go(func() error { return ignoreClosed(metrics.Serve(open.metrics)) })
	}
	group.Go(func() error { return ignoreClosed(front.Serve(open.front)) })
	group.Go(func() error { return ignoreClosed(ready.Serve(open.ready)) })
	group.Go(func() error { return ignoreClosed(peer.Serve(open.peer)) })
	group.Go(func() error { return n.cluster.Run(running) })
	for _, follower := range n.followers() {
		group.Go(func() error { return follower.Run(running) })
	}
	group.Go(func() error { return n.expire(running) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		n.leave(front)
		stop()
		return errors.Join(ready.Close(), peer.Close(), metrics.Close())
	})
	err := group.Wait()
	event.NodeStopped.Log(context.WithoutCancel(ctx), n.logger)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// expireEvery is how often endpoints that did not come back are looked for.
const expireEvery = 200 * time.Millisecond

func (n *Node) expire(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.directory.Expire()
		}
	}
}

// leave finishes what is in flight: readiness fails first, units are handed
// over, and open requests run to their ends.
func (n *Node) leave(front *front) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(shutdownShare*float64(n.chosen.Grace)))
	defer cancel()
	event.NodeDraining.Log(ctx, n.logger)
	n.draining.Store(true)
	var group errgroup.Group
	group.Go(func() error {
		n.cluster.Leave(ctx)
		return n.handOver(ctx)
	})
	group.Go(func() error { return front.Shutdown(ctx) })
	if err := group.Wait(); err != nil {
		event.NodeCutOff.Log(ctx, n.logger, slog.String("cause", err.Error()))
	}
	endCtx, cancelEnd := context.WithTimeout(context.Background(), time.Second)
	defer cancelEnd()
	n.cluster.EndLease(endCtx)
}

// handOver waits until other nodes took the units of this one.
func (n *Node) handOver(ctx context.Context) error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for n.owns() && len(n.cluster.Nodes()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (n *Node) owns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.running) > 0
}

// serveReady answers the balancer: this node takes callers once it knows a
// configuration and the endpoints, until it leaves.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() || n.routes.Load() == nil || !n.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	server := nodepb.NewNodeServer(&peerServer{node: n})
	mux.Handle(server.PathPrefix(), server)
	return mux
}

// metricsHandler shows the node's metrics and the report.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathReport, n.serveReport)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}

func quiet() *log.Logger { return slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug) }

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
