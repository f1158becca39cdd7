package node

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/routereport"
	"github.com/comfreyfront/comfreyfront/internal/submission"
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
	// steps are the parts of the time of a submission's slowest item (label "part"), its
	// sum ("total") and its lower bound ("bound").
	steps *prometheus.HistogramVec
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
	m.steps = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "comfreyfront", Name: "step_seconds", Help: "Time of the slowest listed item of each ended submission, by what it was spent on.", Buckets: stepBuckets,
	}, []string{"class", "part"})
	registerer.MustRegister(m.duration, m.outcomes, m.steps)
	return m
}

// stepBuckets are the upper bounds of the buckets of the times of steps, in seconds.
var stepBuckets = []float64{.05, .1, .25, .5, 1, 2.5, 5, 7.5, 10, 15, 30, 60}

func (m *nodeMetrics) stepTimed(class string, times submission.StepTimes) {
	if len(times.Parts) == 0 {
		return
	}
	for part, spent := range times.Parts {
		m.steps.WithLabelValues(class, part).Observe(spent.Seconds())
	}
	m.steps.WithLabelValues(class, "total").Observe(times.Total.Seconds())
	m.steps.WithLabelValues(class, "bound").Observe(times.Bound.Seconds())
}

func (m *nodeMetrics) ended(class string, outcome routereport.Outcome, status int, duration time.Duration) {
	if class == "" {
		class = classOther
	}
	m.duration.WithLabelValues(class, outcome.String()).Observe(duration.Seconds())
	m.outcomes.WithLabelValues(class, strconv.Itoa(status)).Inc()
}
