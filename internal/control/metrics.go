package control

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of the control goroutine.
type metrics struct {
	configRevision prometheus.Gauge
	livePeers      prometheus.Gauge
	followed       prometheus.Gauge
	dropped        prometheus.Counter
	failures       prometheus.Counter
	sentBytes      prometheus.Counter
	receivedBytes  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "comfreyfront", Subsystem: "control", Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "comfreyfront", Subsystem: "control", Name: name, Help: help})
	}
	m := &metrics{
		configRevision: gauge("config_revision", "Revision of the class document in force."),
		livePeers:      gauge("live_peers", "Other entries that are live."),
		followed:       gauge("followed_endpoints", "Endpoints that this entry follows."),
		dropped:        counter("observations_dropped_total", "Observations of traffic that were dropped."),
		failures:       counter("exchange_failures_total", "Exchanges that peers did not answer."),
		sentBytes:      counter("exchange_sent_bytes_total", "Bytes of news sent, without transport."),
		receivedBytes:  counter("exchange_received_bytes_total", "Bytes of news received, without transport."),
	}
	if registerer != nil {
		registerer.MustRegister(m.configRevision, m.livePeers, m.followed, m.dropped, m.failures, m.sentBytes, m.receivedBytes)
	}
	return m
}
