// Package metrics defines the Prometheus metrics of caller traffic, by class and tenant.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/request"
)

const (
	namespace = "comfreyfront"
	// maxTenants bounds the tenant label; further tenants share otherTenant.
	maxTenants  = 64
	otherTenant = "other"
)

// secondsBuckets holds the upper bucket bounds of latency histograms, in seconds.
var secondsBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 300, 1800}

// versionBuckets holds the upper bucket bounds of the staleness histogram, in versions.
var versionBuckets = []float64{0, 1, 2, 3, 5, 8, 13}

// Traffic holds the metrics of requests and of calls to endpoints.
type Traffic struct {
	waiting    *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	answer     *prometheus.HistogramVec
	staleness  *prometheus.HistogramVec
	outcomes   *prometheus.CounterVec
	attempts   *prometheus.CounterVec

	mu      sync.Mutex
	tenants map[string]bool
}

// NewTraffic creates the metrics and registers them.
func NewTraffic(registerer prometheus.Registerer) *Traffic {
	labels := []string{"class", "tenant"}
	t := &Traffic{
		waiting:    histogram("waiting_seconds", "Time from arrival until a request is sent to an endpoint.", labels),
		firstToken: histogram("first_token_seconds", "Time from arrival until the first token.", labels),
		answer:     histogram("whole_answer_seconds", "Time from arrival until the whole answer.", labels),
		staleness: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "answer_staleness_versions",
			Help:      "Weight versions that the oldest tokens of an answer were behind the newest known one.",
			Buckets:   versionBuckets,
		}, labels),
		outcomes: counter("requests_total", "Requests by their outcome.", []string{"class", "tenant", "outcome"}),
		attempts: counter("attempts_total", "Calls to endpoints by reason: first, retry, resume or hedge.", []string{"class", "reason"}),
		tenants:  map[string]bool{},
	}
	registerer.MustRegister(t.waiting, t.firstToken, t.answer, t.staleness, t.outcomes, t.attempts)
	return t
}

func histogram(name, help string, labels []string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: secondsBuckets}
	return prometheus.NewHistogramVec(options, labels)
}

func counter(name, help string, labels []string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Waited records the time from a request's arrival until it was sent to an endpoint.
func (t *Traffic) Waited(class, tenant string, elapsed time.Duration) {
	t.waiting.WithLabelValues(class, t.tenantLabel(tenant)).Observe(elapsed.Seconds())
}

// FirstToken records the time from a request's arrival until the first token.
func (t *Traffic) FirstToken(class, tenant string, elapsed time.Duration) {
	t.firstToken.WithLabelValues(class, t.tenantLabel(tenant)).Observe(elapsed.Seconds())
}

// Ended records the outcome of a request and, if it was answered, its duration.
func (t *Traffic) Ended(class, tenant string, outcome request.Outcome, elapsed time.Duration) {
	label := t.tenantLabel(tenant)
	t.outcomes.WithLabelValues(class, label, string(outcome)).Inc()
	if outcome == request.Answered {
		t.answer.WithLabelValues(class, label).Observe(elapsed.Seconds())
	}
}

// Stale records by how many weight versions an answer was behind the newest one.
func (t *Traffic) Stale(class, tenant string, versions int64) {
	t.staleness.WithLabelValues(class, t.tenantLabel(tenant)).Observe(float64(versions))
}

// Attempted counts a call to an endpoint by reason.
func (t *Traffic) Attempted(class, reason string) {
	t.attempts.WithLabelValues(class, reason).Inc()
}

func (t *Traffic) tenantLabel(tenant string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tenants[tenant] {
		return tenant
	}
	if len(t.tenants) >= maxTenants {
		return otherTenant
	}
	t.tenants[tenant] = true
	return tenant
}
