package node

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/routereport"
)

// classOther is the class label of requests that matched no route of the
// configuration.
const classOther = "none"

// nodeMetrics are the metrics of callers' requests by route (label "class") and
// outcome. The number of label values is bounded by the operator's routes, four
// outcomes and the statuses that nodes and endpoints use.
type nodeMetrics struct {
	duration *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
}

// secondsBuckets are the upper bounds of the buckets of the request duration, in
// seconds.
var secondsBuckets = []float64{.01, .025, .05, .1, .2, .4, 1, 2.5, 10}

func newNodeMetrics(registerer prometheus.Registerer) *nodeMetrics {
	m := &nodeMetrics{
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "comfreyfront", Name: "request_seconds", Help: "Time from a request's arrival to its end.", Buckets: secondsBuckets,
		}, []string{"class", "outcome"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "comfreyfront", Name: "requests_total", Help: "Requests that ended, by the status of the answer.",
		}, []string{"class", "status"}),
	}
	registerer.MustRegister(m.duration, m.outcomes)
	return m
}

func (m *nodeMetrics) ended(class string, outcome routereport.Outcome, status int, duration time.Duration) {
	if class == "" {
		class = classOther
	}
	m.duration.WithLabelValues(class, outcome.String()).Observe(duration.Seconds())
	m.outcomes.WithLabelValues(class, strconv.Itoa(status)).Inc()
}
