package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/listclient"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue/metakv"
	"github.com/comfreyfront/comfreyfront/internal/metrics"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/policy/adaptive"
	"github.com/comfreyfront/comfreyfront/internal/policy/naive"
	"github.com/comfreyfront/comfreyfront/internal/queue"
	"github.com/comfreyfront/comfreyfront/internal/report"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/settings"
	"github.com/comfreyfront/comfreyfront/internal/step"
	"github.com/comfreyfront/comfreyfront/internal/strict"
	"github.com/comfreyfront/comfreyfront/internal/suspect"
	"github.com/comfreyfront/comfreyfront/internal/traffic"
	"github.com/comfreyfront/comfreyfront/platform"
)

// parts holds the components of an entry.
type parts struct {
	callers  http.Handler
	internal http.Handler
	health   *health
	control  *control.Manager
	owner    *ownership.Manager
	claims   *claim.Server
	steps    *step.Service
	traffic  *traffic.Server
	intake   *intake.Intake
	// runs holds the background loops; each returns when its context ends.
	runs []func(ctx context.Context) error
}

// builder holds the dependencies that several components share.
type builder struct {
	cfg        *settings.Entry
	logger     *slog.Logger
	registry   *prometheus.Registry
	snapshots  *control.Snapshots
	store      keyvalue.Store
	dialer     *dialer
	peerClient *http.Client
	metrics    *metrics.Traffic
	claimer    *claim.Router
	suspects   *suspect.Registry
	recorder   *report.Recorder
}

// build creates the components of an entry whose internal interface listens on address.
func build(cfg *settings.Entry, address string, logger *slog.Logger) *parts {
	b := newBuilder(cfg, logger)
	p := &parts{health: &health{snapshots: b.snapshots}}
	p.intake = intake.New(cfg.Intake.Limits(int64(cfg.MemoryMB)<<20, intake.FileLimit(cfg.MaxFiles)), logger, b.registry)
	p.owner = ownership.New(b.store, cfg.ID, ownership.Options{}, logger)
	p.claims = claim.NewServer(b.store, p.owner, claim.Options{Alive: b.ownerAlive}, logger, b.registry)
	b.claimer = claim.NewRouter(b.cfg.ID, p.claims, b.claimPeers,
		func(peer claim.Peer) claim.Owner { return b.dialer.dial(peer.Address) }, claim.Options{}, b.logger)
	b.suspects = suspect.NewRegistry(suspect.Options{
		Exclusive: suspect.ClaimExclusive{Claimer: b.claimer, Self: b.cfg.ID},
		Spread:    func(rows []*peerpb.Suspect) { p.control.SpreadSuspects(rows) },
	}, b.logger, b.registry)
	p.control = b.newControl(address)
	dispatcher := b.newDispatcher(p)
	p.steps = b.newSteps(p, dispatcher)
	p.traffic = b.newTraffic(p, dispatcher)
	p.callers = p.traffic
	p.internal = b.newInternal(p)
	p.runs = append(p.runs, p.control.Run, p.owner.Run, p.claims.Run, func(ctx context.Context) error {
		return report.Publish(ctx, b.recorder, b.snapshots, p.steps, p.control)
	})
	return p
}

// peerBodies are the limits of the answers of other entries: another process may listen at the
// address of an entry that is gone. The longest are those to calls on steps, with their samples.
var peerBodies = strict.BodyLimits{ByMethod: map[string]int64{"Step": 64 << 20}, Others: 16 << 20}

func newBuilder(cfg *settings.Entry, logger *slog.Logger) *builder {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	peerClient := &http.Client{Transport: strict.LimitBodies(engine.NewTransport(), peerBodies)}
	return &builder{
		cfg:        cfg,
		logger:     logger,
		registry:   registry,
		snapshots:  &control.Snapshots{},
		store:      &metakv.Store{Metadata: platform.NewNamedStoreClient(cfg.StoreAddress, cfg.ID)},
		dialer:     newDialer(peerClient),
		peerClient: peerClient,
		metrics:    metrics.NewTraffic(registry),
		recorder:   report.NewRecorder(nil),
	}
}

func (b *builder) newControl(address string) *control.Manager {
	return control.New(control.Options{
		ID:            b.cfg.ID,
		Address:       address,
		FailureDomain: b.cfg.FailureDomain,
		Region:        b.cfg.Region,
		Config:        config.NewStore(b.store, config.Options{}, b.logger),
		List:          listclient.New(listclient.Options{Address: b.cfg.ListAddress, ClientID: b.cfg.ID}),
		Peers:         exchange.NewHTTPCaller(b.peerClient),
		Loads:         control.NewHTTPLoads(&http.Client{Transport: engine.NewTransport()}),
		Suspects:      b.suspects,
		Snapshots:     b.snapshots,
	}, b.logger, b.registry)
}

// newDispatcher creates the dispatcher with the configured policy.
func (b *builder) newDispatcher(p *parts) *dispatch.Dispatcher {
	var decisions policy.Policy
	if b.cfg.Policy == settings.PolicyNaive {
		decisions = naive.New()
	} else {
		var workQueue *queue.Queue
		decisions, workQueue = adaptive.New(adaptive.Options{FailureDomain: b.cfg.FailureDomain, Region: b.cfg.Region})
		p.runs = append(p.runs, func(ctx context.Context) error { return b.refresh(ctx, workQueue) })
	}
	transport := engine.NewTransport()
	return dispatch.New(dispatch.Options{
		Snapshots: b.snapshots,
		Policy:    decisions,
		Observer:  p.control.Observer(),
		Suspects:  suspects{registry: b.suspects},
		Metrics:   b.metrics,
		Engines:   engine.NewClient(transport),
		Services:  engine.NewServiceClient(transport, engine.NewSingleUseTransport()),
	}, b.logger)
}

// refresh passes each new snapshot to the queue until ctx ends.
func (b *builder) refresh(ctx context.Context, workQueue *queue.Queue) error {
	for {
		changed := b.snapshots.Changed()
		snapshot := b.snapshots.Load()
		workQueue.Refresh(snapshot.Classes, snapshot.Endpoints, snapshot.EntriesPerEndpoint)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *builder) newSteps(p *parts, dispatcher *dispatch.Dispatcher) *step.Service {
	return step.NewService(step.Options{
		Owner:      p.owner,
		Generator:  &generator{dispatcher: dispatcher, snapshots: b.snapshots, record: b.recordSample},
		Alive:      b.ownerAlive,
		Newest:     func(model string) int64 { return b.snapshots.Load().Versions[model].Newest },
		Logger:     b.logger,
		Registerer: b.registry,
	})
}

// ownerAlive reports whether the owner of a unit is believed to be alive. An earlier
// process of this entry counts as dead; an unknown entry, as at startup, counts as alive.
func (b *builder) ownerAlive(id string) bool {
	return id != b.cfg.ID && !slices.Contains(b.snapshots.Load().Dead, id)
}

func (b *builder) recordSample(sample *step.GenerateRequest, err error, elapsed time.Duration, effort dispatch.Effort) {
	outcome := outcomeOf(err)
	found, known := b.snapshots.Load().Classes.Find(sample.Class)
	b.metrics.Ended(sample.Class, sample.Tenant, outcome, elapsed)
	b.recorder.Record(traffic.Record{
		Class:    sample.Class,
		Tenant:   sample.Tenant,
		Serves:   sample.Model,
		Outcome:  outcome,
		Took:     elapsed,
		InTime:   outcome == request.Answered && known && (found.Lateness <= 0 || elapsed <= found.Lateness),
		Attempts: effort.Attempts,
		Hedges:   effort.Hedges,
		Refusal:  traffic.RefusalOf(err),
		Weights:  effort.Weights,
		Stale:    effort.Weights.Exceeds(found.Freshness),
	})
}

func (b *builder) newTraffic(p *parts, dispatcher *dispatch.Dispatcher) *traffic.Server {
	router := step.NewRouter(step.RouterOptions{
		Service: p.steps,
		Self:    b.cfg.ID,
		Peers:   func() []control.Peer { return b.snapshots.Load().Peers },
		Rank:    ownership.Rank,
		Dial:    func(peer control.Peer) peerpb.Peer { return b.dialer.dial(peer.Address) },
		Logger:  b.logger,
	})
	return traffic.New(traffic.Options{
		Snapshots:      b.snapshots,
		Dispatcher:     dispatcher,
		Claimer:        b.claimer,
		Metrics:        b.metrics,
		Recorder:       b.recorder,
		Steps:          router,
		Rollouts:       b.newRollouts(p),
		Ready:          p.health,
		RequestTimeout: b.cfg.RequestTimeout,
	}, b.logger)
}

func (b *builder) claimPeers() []claim.Peer {
	snapshot := b.snapshots.Load()
	peers := make([]claim.Peer, 0, len(snapshot.Peers))
	for _, peer := range snapshot.Peers {
		peers = append(peers, claim.Peer{ID: peer.ID, Address: peer.Address, Leaving: peer.Leaving})
	}
	return peers
}

// newInternal returns the handler of the internal interface for entries, operators and probes.
func (b *builder) newInternal(p *parts) http.Handler {
	mux := http.NewServeMux()
	peers := peerpb.NewPeerServer(&peerServer{control: p.control, claims: p.claims, steps: step.Server{Service: p.steps}})
	mux.Handle(peers.PathPrefix(), peers)
	operators := operator.New(operator.Options{Snapshots: b.snapshots, Configuration: p.control, Reporter: report.NewReporter(b.snapshots, p.control, nil)})
	mux.Handle(operator.PathClasses, operators)
	mux.Handle(operator.PathHistory, operators)
	mux.Handle(operator.PathReport, operators)
	mux.Handle("GET /metrics", promhttp.HandlerFor(b.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", serveLive)
	mux.Handle("GET /readyz", p.health)
	return mux
}
