package accountreport

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/account"
	"github.com/comfreyfront/comfreyfront/internal/routereport"
)

// noAccountLabel is the label of requests without a known account.
const noAccountLabel = "none"

var (
	requestsMetric = prometheus.NewDesc("comfreyfront_account_requests_total", "Requests that ended, by client account.", []string{"account", "outcome"}, nil)
	secondsMetric  = prometheus.NewDesc("comfreyfront_account_request_seconds", "Time from a request's arrival to its end, by client account.", []string{"account"}, nil)
	sharesMetric   = prometheus.NewDesc("comfreyfront_account_share_refusals_total", "Requests that were refused for their share, by client account and cause.", []string{"account", "cause"}, nil)
	refusalsMetric = prometheus.NewDesc("comfreyfront_account_refusals_total", "Requests that were refused for their key, by client account and reason.", []string{"account", "reason"}, nil)
)

var _ prometheus.Collector = (*Recorder)(nil)

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- requestsMetric
	descriptions <- secondsMetric
	descriptions <- refusalsMetric
	descriptions <- sharesMetric
}

// Collect implements prometheus.Collector. The accounts are those of the configuration, and
// counts of zero are left out.
func (r *Recorder) Collect(metrics chan<- prometheus.Metric) {
	for _, t := range r.totals() {
		label := t.name
		if t.name == NoAccount {
			label = noAccountLabel
		}
		for outcome, n := range t.figure.Outcomes {
			send(metrics, requestsMetric, n, label, routereport.Outcome(outcome).String())
		}
		for refusal, n := range t.figure.Refusals {
			send(metrics, refusalsMetric, n, label, account.Refusal(refusal).String())
		}
		metrics <- t.times.histogram(label)
		for cause, n := range t.figure.Shares {
			send(metrics, sharesMetric, n, label, Share(cause).String())
		}
	}
}

// histogram returns the times as a metric, whose buckets are cumulative.
func (t *times) histogram(label string) prometheus.Metric {
	cumulative := map[float64]uint64{}
	count := uint64(0)
	for i, n := range t.buckets {
		count += uint64(n)
		if i < len(boundsSeconds) {
			cumulative[boundsSeconds[i]] = count
		}
	}
	return prometheus.MustNewConstHistogram(secondsMetric, count, t.seconds, cumulative, label)
}

// send sends a counter unless it is zero.
func send(metrics chan<- prometheus.Metric, description *prometheus.Desc, n int64, labels ...string) {
	if n > 0 {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(n), labels...)
	}
}
