package step

import "github.com/prometheus/client_golang/prometheus"

// stalenessBuckets are the histogram's upper bounds, in weight versions.
var stalenessBuckets = []float64{0, 1, 2, 3, 4, 6, 8, 12, 16}

// metrics holds the metrics of all steps that an entry owns.
type metrics struct {
	staleness *prometheus.HistogramVec
	discarded *prometheus.CounterVec
	retries   *prometheus.CounterVec
	owned     prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		staleness: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreyfront_step_staleness_versions", Buckets: stalenessBuckets,
			Help: "Versions by which the oldest tokens of a delivered sample were behind.",
		}, []string{"class"}),
		discarded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyfront_step_discarded_total",
			Help: "Samples and beginnings of samples thrown away because they were over the staleness bound.",
		}, []string{"class", "kind"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyfront_step_generation_retries_total",
			Help: "Generations of samples that failed and were tried again.",
		}, []string{"class"}),
		owned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "comfreyfront_steps_owned", Help: "Steps that this entry owns.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.staleness, m.discarded, m.retries, m.owned)
	}
	return m
}

// classObserver is an Observer that updates the metrics of one class.
type classObserver struct {
	metrics *metrics
	class   string
}

// Discarded implements Observer.
func (o classObserver) Discarded(_ int64, complete bool) {
	kind := "partial"
	if complete {
		kind = "sample"
	}
	o.metrics.discarded.WithLabelValues(o.class, kind).Inc()
}

// Delivered implements Observer.
func (o classObserver) Delivered(versions int64) {
	o.metrics.staleness.WithLabelValues(o.class).Observe(float64(versions))
}
