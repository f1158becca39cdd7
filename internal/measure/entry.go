package measure

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/metrics"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/queue"
)

// pollInterval is the interval at which an entry reads load reports.
const pollInterval = 100 * time.Millisecond

// idleConnections is the maximum number of idle connections of an entry to one
// endpoint.
const idleConnections = 64

// Arm is one of the two policies that are compared.
type Arm struct {
	Name string
	// New returns the policy of an entry in the given failure domain, and its queue,
	// or nil if the policy has none.
	New func(domain string) (policy.Policy, *queue.Queue)
}

// Entry consists of the dispatcher of one entry and a simplified replacement for its
// control goroutine.
type Entry struct {
	Dispatcher *dispatch.Dispatcher

	domain     string
	client     *http.Client
	snapshots  control.Snapshots
	queue      *queue.Queue
	stragglers *policy.StragglerDetector // nil if the policy has no queue
	classes    *class.Document
	endpoints  []endpoint.Endpoint
	histories  []policy.History
	outliers   map[string]*policy.Outliers
	// version is the newest weight version, which the workload sets.
	version *atomic.Int64
}

func newEntry(site *Site, arm Arm, number int, classes *class.Document, traffic *Traffic, version *atomic.Int64) *Entry {
	e := &Entry{domain: domainOf(number), classes: classes, version: version, outliers: map[string]*policy.Outliers{}}
	e.endpoints = append(e.endpoints, site.endpoints...)
	addresses := map[string]string{}
	for i := range e.endpoints {
		e.endpoints[i].Live = &endpoint.Live{}
		addresses[e.endpoints[i].Address] = e.endpoints[i].FailureDomain
	}
	e.histories = make([]policy.History, len(e.endpoints))
	transport := &delayTransport{
		base:    &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true},
		domain:  e.domain,
		domains: addresses,
		oneWay:  site.OneWay,
		traffic: traffic,
	}
	e.client = &http.Client{Transport: transport}
	selection, requests := arm.New(e.domain)
	e.queue = requests
	if requests != nil {
		e.stragglers = &policy.StragglerDetector{}
	}
	e.Dispatcher = dispatch.New(dispatch.Options{
		Snapshots: &e.snapshots,
		Policy:    selection,
		Observer:  noopObserver{},
		Suspects:  dispatch.NoSuspects{},
		Metrics:   metrics.NewTraffic(prometheus.NewRegistry()),
		Engines:   engine.NewClient(transport),
		Services:  engine.NewServiceClient(transport, transport),
	}, slog.New(slog.DiscardHandler))
	e.publish(time.Now())
	return e
}

// follow polls load reports and publishes a snapshot after each poll, until ctx ends.
func (e *Entry) follow(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.poll(ctx)
			e.publish(time.Now())
		}
	}
}

// poll reads the load reports of all endpoints concurrently.
func (e *Entry) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*pollInterval)
	defer cancel()
	var reading sync.WaitGroup
	for i := range e.endpoints {
		reading.Go(func() { e.read(ctx, &e.endpoints[i], &e.histories[i]) })
	}
	reading.Wait()
}

// read updates an endpoint from its load report. If the report can't be read, the
// endpoint keeps its previous values.
func (e *Entry) read(ctx context.Context, p *endpoint.Endpoint, history *policy.History) {
	history.Record(time.Now(), int(p.Live.InFlight.Load()))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+engine.PathLoad, nil)
	if err != nil {
		return
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var report engine.LoadReport
	if json.NewDecoder(resp.Body).Decode(&report) != nil {
		return
	}
	p.Running, p.Waiting, p.Slots = report.Running, report.Waiting, report.Slots
	p.Leaving, p.ReportedAt = report.Leaving, report.ReportedAt
	p.OwnInFlight = history.At(report.ReportedAt)
	if p.Kind == endpoint.Engine {
		p.ActiveVersion = max(report.WeightVersion, e.version.Load())
	}
}

// publish publishes a snapshot of the endpoints and refreshes the queue with it.
func (e *Entry) publish(now time.Time) {
	demotions := e.demotions(now)
	byModel := map[string][]*endpoint.Endpoint{}
	for _, p := range e.endpoints {
		p.Demotion = demotions[p.ID]
		byModel[p.Serves] = append(byModel[p.Serves], &p)
	}
	if e.queue != nil {
		e.queue.Refresh(e.classes, byModel, entryCount)
	}
	e.snapshots.Publish(&control.Snapshot{Classes: e.classes, Endpoints: byModel})
}

// demotions returns the demotion of each endpoint with outlying latency, by endpoint
// identifier, or nil without a queue.
func (e *Entry) demotions(now time.Time) map[string]float64 {
	if e.queue == nil {
		return nil
	}
	samples := map[string][]policy.EndpointLatency{}
	for _, p := range e.endpoints {
		nanos := p.Live.TokenNanos.Load()
		if p.Kind == endpoint.Service {
			nanos = p.Live.CallNanos.Load()
		}
		samples[p.Serves] = append(samples[p.Serves], policy.EndpointLatency{ID: p.ID, TokenNanos: nanos})
	}
	byEndpoint := map[string]float64{}
	for serves, latencies := range samples {
		if e.outliers[serves] == nil {
			e.outliers[serves] = &policy.Outliers{}
		}
		for id, demotion := range e.outliers[serves].Decide(latencies, now) {
			byEndpoint[id] = demotion
		}
	}
	return byEndpoint
}

// noopObserver ignores all observations: the counters of the endpoints suffice here.
type noopObserver struct{}

func (noopObserver) EndpointLeaving(string)  {}
func (noopObserver) EndpointFailed(string)   {}
func (noopObserver) EndpointAnswered(string) {}
