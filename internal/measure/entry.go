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

// pollInterval is how often an entry reads load reports.
const pollInterval = 100 * time.Millisecond

// idleConnections to one endpoint that an entry keeps.
const idleConnections = 64

// Arm is one of the versions that are compared.
type Arm struct {
	Name string
	// New returns the policy of one entry, and its queue if it has one.
	New func(domain string) (policy.Policy, *queue.Queue)
}

// Entry is one entry of the system: its dispatcher, and a small stand-in for
// its control goroutine.
type Entry struct {
	Dispatcher *dispatch.Dispatcher

	domain    string
	client    *http.Client
	snapshots control.Snapshots
	queue     *queue.Queue
	mover     *policy.StragglerDetector // nil is none
	classes   *class.Document
	endpoints []endpoint.Endpoint
	histories []policy.History
	outliers  map[string]*policy.Outliers
	// version is the newest weight version; it is set by the workload.
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
	transport := &link{
		base:    &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true},
		domain:  e.domain,
		domains: addresses,
		oneWay:  site.OneWay,
		traffic: traffic,
	}
	e.client = &http.Client{Transport: transport}
	decisions, waiting := arm.New(e.domain)
	e.queue = waiting
	if waiting != nil {
		e.mover = &policy.StragglerDetector{}
	}
	e.Dispatcher = dispatch.New(dispatch.Options{
		Snapshots: &e.snapshots,
		Policy:    decisions,
		Observer:  deaf{},
		Suspects:  dispatch.NoSuspects{},
		Metrics:   metrics.NewTraffic(prometheus.NewRegistry()),
		Engines:   engine.NewClient(transport),
		Services:  engine.NewServiceClient(transport, transport),
	}, slog.New(slog.DiscardHandler))
	e.publish(time.Now())
	return e
}

// follow reads load reports and publishes snapshots until ctx ends.
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

// poll reads all load reports side by side.
func (e *Entry) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*pollInterval)
	defer cancel()
	var reading sync.WaitGroup
	for i := range e.endpoints {
		reading.Go(func() { e.read(ctx, &e.endpoints[i], &e.histories[i]) })
	}
	reading.Wait()
}

func (e *Entry) read(ctx context.Context, p *endpoint.Endpoint, history *policy.History) {
	history.Record(time.Now(), int(p.Live.InFlight.Load()))
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+engine.PathLoad, nil)
	if err != nil {
		return
	}
	answer, err := e.client.Do(get)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	var report engine.LoadReport
	if json.NewDecoder(answer.Body).Decode(&report) != nil {
		return
	}
	p.Running, p.Waiting, p.Slots = report.Running, report.Waiting, report.Slots
	p.Leaving, p.ReportedAt = report.Leaving, report.ReportedAt
	p.OwnInFlight = history.At(report.ReportedAt)
	if p.Kind == endpoint.Engine {
		p.ActiveVersion = max(report.WeightVersion, e.version.Load())
	}
}

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
	all := map[string]float64{}
	for serves, some := range samples {
		if e.outliers[serves] == nil {
			e.outliers[serves] = &policy.Outliers{}
		}
		for id, demotion := range e.outliers[serves].Decide(some, now) {
			all[id] = demotion
		}
	}
	return all
}

// deaf is an observer that does nothing: endpoints' own counts are enough here.
type deaf struct{}

func (deaf) EndpointLeaving(string)  {}
func (deaf) EndpointFailed(string)   {}
func (deaf) EndpointAnswered(string) {}
