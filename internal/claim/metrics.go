package claim

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the metrics of an owner of partitions. A nil or zero metrics records nothing.
type metrics struct {
	groups   prometheus.Histogram
	rows     prometheus.Histogram
	verdicts *prometheus.CounterVec
}

// Bucket boundaries of the histograms: seconds and rows.
var (
	writeBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)
	rowBuckets   = prometheus.ExponentialBuckets(1, 2, 10)
)

func newMetrics(registerer prometheus.Registerer, claims func() float64) *metrics {
	m := &metrics{
		groups: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfreyfront_claim_write_seconds", Help: "Time until a group of claims was durable.", Buckets: writeBuckets,
		}),
		rows: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "comfreyfront_claim_group_rows", Help: "Claims and endings per group.", Buckets: rowBuckets,
		}),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreyfront_claim_verdicts_total", Help: "Verdicts on claims by this entry as owner.",
		}, []string{"verdict"}),
	}
	if registerer == nil {
		return m
	}
	claimsHeld := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "comfreyfront_claims_held", Help: "Claims held in memory by this entry as owner.",
	}, claims)
	registerer.MustRegister(m.groups, m.rows, m.verdicts, claimsHeld)
	return m
}

func (m *metrics) observeGroup(rows int, elapsed time.Duration) {
	if m == nil || m.groups == nil {
		return
	}
	m.groups.Observe(elapsed.Seconds())
	m.rows.Observe(float64(rows))
}

func (m *metrics) countVerdict(verdict string) {
	if m == nil || m.verdicts == nil {
		return
	}
	m.verdicts.WithLabelValues(verdict).Inc()
}
