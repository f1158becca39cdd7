package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// nodeMetrics are the metrics of callers' requests, by route (the class of
// work) and outcome.
type nodeMetrics struct {
	took     *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
}

// secondsBuckets are the upper bounds of the histogram of time, in seconds.
var secondsBuckets = []float64{.01, .025, .05, .1, .2, .4, 1, 2.5, 10}

func newNodeMetrics(registerer prometheus.Registerer) *nodeMetrics {
	m := &nodeMetrics{
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "comfreyfront", Name: "request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: secondsBuckets,
		}, []string{"class"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "comfreyfront", Name: "requests_total", Help: "Requests that ended, by the status of the answer.",
		}, []string{"class", "status"}),
	}
	registerer.MustRegister(m.took, m.outcomes)
	return m
}

func (m *nodeMetrics) ended(class, status string, took time.Duration) {
	if class == "" {
		class = "none"
	}
	m.took.WithLabelValues(class).Observe(took.Seconds())
	m.outcomes.WithLabelValues(class, status).Inc()
}
