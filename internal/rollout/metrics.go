package rollout

import "github.com/prometheus/client_golang/prometheus"

// secondsBuckets are the histograms' upper bounds, in seconds.
var secondsBuckets = []float64{0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300, 600}

// metrics holds the metrics of an Executor.
type metrics struct {
	staging    *prometheus.HistogramVec
	activation *prometheus.HistogramVec
	failures   *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		staging: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyfront_rollout_staging_seconds", Buckets: secondsBuckets,
			Help: "Time to stage a version on all replicas of a failure domain.",
		}, []string{"model"}),
		activation: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyfront_rollout_activation_seconds", Buckets: secondsBuckets,
			Help: "Time to activate a version on all replicas of a failure domain.",
		}, []string{"model"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyfront_rollout_order_failures_total",
			Help: "Weight orders that failed or whose answer was lost.",
		}, []string{"model", "order"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.staging, m.activation, m.failures)
	}
	return m
}
