package node

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/routereport"
)

// classOther stands for requests that no route of the configuration served.
const classOther = "none"

// nodeMetrics are the metrics of callers' requests, by route (the class of
// work) and outcome. The labels are bounded: by the operator's routes, four
// outcomes and the statuses that nodes and endpoints use.
type nodeMetrics struct {
	took     *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
}

// secondsBuckets are the upper bounds of the histogram of time, in seconds.
var secondsBuckets = []float64{.01, .025, .05, .1, .2, .4, 1, 2.5, 10}

func newNodeMetrics(registerer prometheus.Registerer) *nodeMetrics {
	m := &nodeMetrics{
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "comfreyfront", Name: "request_seconds", Help: "Time from a request's arrival to its end.", Buckets: secondsBuckets,
		}, []string{"class", "outcome"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "comfreyfront", Name: "requests_total", Help: "Requests that ended, by the status of the answer.",
		}, []string{"class", "status"}),
	}
	registerer.MustRegister(m.took, m.outcomes)
	return m
}

func (m *nodeMetrics) ended(class string, outcome routereport.Outcome, status int, took time.Duration) {
	if class == "" {
		class = classOther
	}
	m.took.WithLabelValues(class, outcome.String()).Observe(took.Seconds())
	m.outcomes.WithLabelValues(class, strconv.Itoa(status)).Inc()
}
