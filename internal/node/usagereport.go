package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/accountreport"
	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/metastore"
	"github.com/comfreyfront/comfreyfront/internal/usage"
)

// maxAccountLabels bounds the values of the label "account"; further accounts are counted
// together as accountOther.
const (
	maxAccountLabels = 200
	accountOther     = "other"
)

// usageMetrics are the metrics of the usage of accounts.
type usageMetrics struct {
	requests *prometheus.CounterVec
	reports  *prometheus.CounterVec

	mu       sync.Mutex
	accounts map[string]prometheus.Counter
}

// newUsageMetrics registers the metrics. reported returns the last report of this node and
// its age, or nil.
func newUsageMetrics(registerer prometheus.Registerer, reported func() (*usage.Record, time.Duration)) *usageMetrics {
	m := &usageMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "comfreyfront", Name: "usage_requests_total", Help: "Requests of accounts that began to run.",
		}, []string{"account"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "comfreyfront", Name: "usage_reports_total", Help: "Usage reports sent by this node, by the outcome of the call.",
		}, []string{"outcome"}),
		accounts: map[string]prometheus.Counter{},
	}
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "comfreyfront", Name: "usage_report_age_seconds", Help: "Time since this node's last confirmed usage report; -1 while it makes none.",
	}, func() float64 {
		record, age := reported()
		if record == nil {
			return -1
		}
		return age.Seconds()
	})
	registerer.MustRegister(m.requests, m.reports, age)
	return m
}

// counted counts a request of an account.
func (m *usageMetrics) counted(account string) {
	m.mu.Lock()
	counter := m.accounts[account]
	if counter == nil {
		label := account
		if len(m.accounts) >= maxAccountLabels {
			label = accountOther
		}
		counter = m.requests.WithLabelValues(label)
		if label == account {
			m.accounts[account] = counter
		}
	}
	m.mu.Unlock()
	counter.Inc()
}

// called counts a call that sent a report.
func (m *usageMetrics) called(err error) { m.reports.WithLabelValues(outcomeOfCall(err)).Inc() }

// outcomeOfCall returns the label of a call's outcome.
func outcomeOfCall(err error) string {
	switch {
	case err == nil:
		return "confirmed"
	case errorx.IsOfType(err, duty.ErrNotHeld):
		return "not_held"
	case errorx.IsOfType(err, duty.ErrOverRate):
		return "over_rate"
	case errorx.IsOfType(err, duty.ErrSuperseded):
		return "superseded"
	case errorx.IsOfType(err, duty.ErrRefused):
		return "refused"
	case errorx.IsOfType(err, duty.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}

// usagePageTimeout bounds the read of the newest report for the operators' page.
const usagePageTimeout = time.Second

// newest reads the newest report.
func (u *usageReports) newest(ctx context.Context) (*usage.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, usagePageTimeout)
	defer cancel()
	item, err := u.node.store.Get(ctx, usage.RecordKey)
	if err != nil {
		return nil, err
	}
	return usage.DecodeRecord(item.Value)
}

// sinceEnd returns how long ago the window of a report ended.
func (u *usageReports) sinceEnd(record *usage.Record) time.Duration {
	return u.clock.Now() - record.Window.End(u.node.config.UsageWindow)
}

// usageOf returns an account's part of the newest report, or nil if it cannot be read.
func (u *usageReports) usageOf(ctx context.Context, account string) *accountreport.Usage {
	record, err := u.newest(ctx)
	if err != nil {
		event.UsageNotRead.Log(ctx, u.node.logger, slog.String("cause", err.Error()))
		return nil
	}
	return &accountreport.Usage{Window: int64(record.Window), Requests: record.Counts[account], Ended: u.sinceEnd(record)}
}

// serve responds with the newest report: the count of the account that the query names, or
// those of all accounts.
func (u *usageReports) serve(w http.ResponseWriter, r *http.Request) {
	record, err := u.newest(r.Context())
	if errorx.IsOfType(err, metastore.ErrNotFound) {
		http.Error(w, "no usage was reported yet", http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	u.render(w, record, r.URL.Query().Get("account"))
}

// render writes a report, or only the count of an account if one is given.
func (u *usageReports) render(w io.Writer, record *usage.Record, account string) {
	fmt.Fprintf(w, "newest usage report: window %d of %s, ended %s ago, %d requests of %d accounts\n",
		record.Window, u.node.config.UsageWindow, u.sinceEnd(record).Round(time.Second), record.Requests(), len(record.Counts))
	if account != "" {
		fmt.Fprintf(w, "%s: %d requests\n", account, record.Counts[account])
		return
	}
	for _, name := range slices.Sorted(maps.Keys(record.Counts)) {
		fmt.Fprintf(w, "%s: %d requests\n", name, record.Counts[name])
	}
}
