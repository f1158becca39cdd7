// Package node assembles one process of the service on the platform. A node follows
// the platform's records, serves callers, owns units and communicates with other
// nodes.
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

	"github.com/comfreyfront/comfreyfront/internal/accountreport"
	"github.com/comfreyfront/comfreyfront/internal/boottime"
	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/forward"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/logging"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/node/nodepb"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/panics"
	"github.com/comfreyfront/comfreyfront/internal/relay"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/strict"
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/internal/weights"
	"github.com/comfreyfront/comfreyfront/platform"
)

// Resource limits of the process.
const (
	// memoryFraction is the fraction of the instance's memory that is set as the
	// soft memory limit of the Go runtime.
	memoryFraction = 0.6
	// gcPercent keeps the heap small, since memory costs more than the CPU time to
	// collect it.
	gcPercent        = 60
	peerIdleTimeout  = 30 * time.Second
	peerConnsPerHost = 4
	// relayPeers is the largest number of peers that one store call is relayed
	// through.
	relayPeers = 2
)

// Node is one process of the service on the platform.
type Node struct {
	config *settings.Node
	logger *slog.Logger
	// direct calls the metadata store from this node. store does the same and falls
	// back to relaying through peers while direct calls fail.
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
	// figures are the counts of ended requests by route, and accountFigures those by client
	// account.
	figures        routereport.Recorder
	accountFigures accountreport.Recorder
	gates          gates
	registry       *prometheus.Registry
	retire         retireResponder
	hubs           *hubs
	intake         *intake.Intake
	caches         caches
	certainty      *certainty
	// managementPace limits the rate of calls to the management interface.
	managementPace *duty.Pace
	usage          *usageReports // nil if no usage is reported

	scalers        scalers
	scalingMetrics *scalingMetrics

	started  time.Time
	listed   atomic.Bool // the endpoint directory has been read once
	draining atomic.Bool
	// finishBy is set late in a planned stop: when requests must be finished.
	finishBy atomic.Pointer[time.Time]

	mu    sync.Mutex
	units map[string]*unitRun // owned units
}

// Run serves until ctx ends and everything in flight is finished.
//
// The settings are read again through reload while the node runs.
func Run(ctx context.Context, config *settings.Node, reload Reload, out io.Writer) error {
	level, err := config.Level()
	if err != nil {
		return err
	}
	var threshold slog.LevelVar
	threshold.Set(level)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(config.MemoryMB) * (1 << 20)))
	writer := logging.NewWriter(out)
	defer writer.Close()
	handler := logging.NewHandler(slog.NewTextHandler(writer, &slog.HandlerOptions{Level: &threshold}), writer)
	logger := slog.New(handler).With(slog.String("node", config.Name))
	go watchSettings(ctx, config, reload, &threshold, logger)
	open, err := listen(config)
	if err != nil {
		return err
	}
	return build(config, logger).run(ctx, open)
}

// build creates a node. run starts it.
func build(config *settings.Node, logger *slog.Logger) *Node {
	n := &Node{
		config:    config,
		logger:    logger,
		routes:    &route.Holder{},
		directory: fleet.NewDirectory(logger),
		targets:   &weights.Targets{},
		crashes:   &forward.Crashes{},
		endpoints: platform.NewEndpointClient(),
		registry:  prometheus.NewRegistry(),
		started:   time.Now(),
		units:     map[string]*unitRun{},
	}
	n.metrics = newNodeMetrics(n.registry)
	n.scalingMetrics = newScalingMetrics(n.registry)
	n.managementPace = duty.NewPace(config.ManagementRate, boottime.Now)
	n.registry.MustRegister(&n.accountFigures)
	n.certainty = newCertainty(config.KeyRevocation, logger, n.registry)
	n.registry.MustRegister(newEndpointGauges(n.directory))
	n.intake = intake.New(config.Intake.Limits(int64(config.MemoryMB)<<20, intake.FileLimit(config.MaxFiles)), logger, n.registry)
	n.peers = newPeers(newPeerTransport())
	n.direct = platform.NewStoreClient(config.StoreAddress)
	n.store = relay.New(n.direct, n.relays, n.needsStore)
	n.cluster = cluster.New(n.clusterOptions())
	n.submissions = submission.NewService(submission.Options{
		Store: n.store, Cluster: n.cluster, Peers: n.peers, OwnershipConfirmed: n.cluster.Confirmed, Logger: logger,
	})
	n.forward = &forward.Service{
		Directory: n.directory, Caller: n.endpoints, Streamer: n.endpoints, Crashes: n.crashes,
		Zone: config.FailureDomain, Logger: logger,
	}
	if n.usage = newUsageReports(n, n.registry); n.usage != nil {
		n.forward.Began = n.usage.began
	}
	n.hubs = &hubs{cluster: n.cluster, peers: n.peers}
	n.caches = newCaches(config.KeyRevocation > 0)
	n.crashes.OnBlock = n.broadcastCrash
	n.crashes.OnBroken = n.reportBroken
	n.directory.Changed = n.fleetChanged
	n.gates.room = n
	n.retire = retireResponder{node: n, handled: map[string]struct{}{}}
	return n
}

// newPeerTransport returns the transport of calls to other nodes.
func newPeerTransport() *strict.Transport {
	return strict.NewTransport(&http.Transport{
		DialContext:            platform.Dialer().DialContext,
		MaxIdleConnsPerHost:    peerConnsPerHost,
		IdleConnTimeout:        peerIdleTimeout,
		MaxResponseHeaderBytes: maxPeerHeadBytes,
		DisableCompression:     true,
	})
}

// clusterOptions returns the options of this node's cluster membership. n.store and n.peers
// must be set.
func (n *Node) clusterOptions() cluster.Options {
	return cluster.Options{
		Self: cluster.Node{
			Name: n.config.Name, Address: n.config.PeerListen, Zone: n.config.FailureDomain, Incarnation: time.Now().UnixNano(),
			Capacity: n.config.Capacity,
		},
		Store:    n.store,
		Pinger:   n.peers,
		TTL:      n.config.LeaseTTL,
		Logger:   n.logger,
		Open:     func(e metastore.Event) { n.submissions.Changed(e) },
		Acquired: n.unitAcquired,
		Lost:     n.unitLost,
	}
}

// needsStore reports whether callers or other nodes depend on this node reaching
// the store: it has no configuration yet, it owns a unit, or a caller waits for a
// submission to be accepted or ended.
func (n *Node) needsStore() bool {
	return n.routes.Load() == nil || n.ownsUnits() || n.submissions.CallersWait()
}

// relays returns stores that call the metadata store through other nodes, at most
// relayPeers of them and those of this node's failure domain first.
func (n *Node) relays() []metastore.Store {
	nodes := n.cluster.Nodes()
	if n.config.KeyRevocation > 0 {
		nodes = n.hubs.responsive(nodes)
	}
	sortByZone(nodes, n.config.FailureDomain)
	var stores []metastore.Store
	for _, node := range nodes[:min(len(nodes), relayPeers)] {
		stores = append(stores, n.peers.storeThrough(node))
	}
	return stores
}

// broadcastCrash notifies all other nodes of a request that crashes endpoints.
func (n *Node) broadcastCrash(fingerprint uint64, life time.Duration) {
	for _, node := range n.cluster.Nodes() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := n.peers.reportCrash(ctx, node, fingerprint, life); err != nil {
				event.PeerCallFailed.Log(ctx, n.logger, slog.String("peer", node.Name), slog.String("cause", err.Error()))
			}
		}()
	}
}

// fleetChanged wakes the work that waits for endpoints after a change of the
// directory.
func (n *Node) fleetChanged() {
	n.submissions.Wake()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, unit := range n.units {
		unit.weights.Wake()
	}
}

// run serves on the listeners until ctx ends, and then drains and leaves the
// cluster.
func (n *Node) run(ctx context.Context, open listeners) error {
	event.NodeStarted.Log(ctx, n.logger, slog.String("failure_domain", n.config.FailureDomain),
		slog.String("listen", n.config.Listen), slog.String("peer_listen", n.config.PeerListen), slog.String("store", n.config.StoreAddress))
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	front := newFront(n)
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ErrorLog: discardLogger()}
	peer := &http.Server{Handler: panics.Logged(n.peerHandler(), n.logger), IdleTimeout: peerIdleTimeout, ErrorLog: discardLogger()}
	metrics := &http.Server{Handler: panics.Logged(n.metricsHandler(), n.logger), ErrorLog: discardLogger()}
	group, groupCtx := errgroup.WithContext(serveCtx)
	if open.metrics != nil {
		group.Go(func() error { return ignoreClosed(metrics.Serve(open.metrics)) })
	}
	group.Go(func() error { return ignoreClosed(front.Serve(open.front)) })
	group.Go(func() error { return ignoreClosed(ready.Serve(open.ready)) })
	group.Go(func() error { return ignoreClosed(peer.Serve(open.peer)) })
	group.Go(func() error { return n.cluster.Run(groupCtx) })
	for _, follower := range n.followers() {
		group.Go(func() error { return follower.Run(groupCtx) })
	}
	group.Go(func() error { return n.expire(groupCtx) })
	if n.usage != nil {
		group.Go(func() error { return n.usage.run(groupCtx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
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

// expireInterval is how often the directory drops endpoints that did not register
// again in time after a store outage, and how often a leaving node checks whether it
// still owns units.
const expireInterval = 200 * time.Millisecond

// expire drops expired endpoints from the directory until ctx ends.
func (n *Node) expire(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.directory.Expire()
			n.certainty.logChange(ctx)
		}
	}
}

// serveReady answers the readiness check of the load balancer. A node is ready once
// it knows a configuration and the endpoints, and until it drains.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() || n.routes.Load() == nil || !n.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// peerHandler serves the calls of other nodes.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	server := nodepb.NewNodeServer(&peerServer{node: n})
	mux.Handle(server.PathPrefix(), server)
	return mux
}

// metricsHandler serves the node's metrics, what it believes of the endpoints, and the
// report over all nodes.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathReport, n.serveReport)
	mux.HandleFunc("GET "+pathScaling, n.serveScaling)
	if n.usage != nil {
		mux.HandleFunc("GET "+operator.PathUsage, n.usage.serve)
	}
	mux.HandleFunc("GET "+pathEndpoints, n.serveEndpoints)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return mux
}

func discardLogger() *log.Logger { return slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug) }

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
