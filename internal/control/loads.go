package control

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/wait"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"
)

// Errors of the control layer.
var (
	Errors = errorx.NewNamespace("control")
	// ErrLoad is returned when a load report cannot be read.
	ErrLoad = Errors.NewType("load", errorx.Temporary())
)

// maxLoadBytes bounds the size of a load report.
const maxLoadBytes = 16 << 10

// HTTPLoads reads load reports over HTTP.
type HTTPLoads struct {
	client *http.Client
}

// NewHTTPLoads returns a LoadReader that uses an HTTP client.
func NewHTTPLoads(client *http.Client) *HTTPLoads {
	return &HTTPLoads{client: client}
}

// Load reads one load report. It fails with ErrLoad.
func (h *HTTPLoads) Load(ctx context.Context, address string) (engine.LoadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.PathLoad, nil)
	if err != nil {
		return engine.LoadReport{}, ErrLoad.New("load of %s: %v", address, err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return engine.LoadReport{}, ErrLoad.New("load of %s: %v", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return engine.LoadReport{}, ErrLoad.New("load of %s: status %d", address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLoadBytes))
	if err != nil {
		return engine.LoadReport{}, ErrLoad.New("load of %s: %v", address, err)
	}
	return decodeLoad(body)
}

func decodeLoad(body []byte) (engine.LoadReport, error) {
	var report engine.LoadReport
	if err := json.Unmarshal(body, &report); err != nil {
		return engine.LoadReport{}, ErrLoad.New("load report: %v", err)
	}
	if report.Running < 0 || report.Waiting < 0 || report.Slots < 0 || report.WeightVersion < 0 {
		return engine.LoadReport{}, ErrLoad.New("load report with negative numbers")
	}
	return report, nil
}

// target is an endpoint whose load report is read.
type target struct {
	id, address string
}

// pollLoads reads the load reports of the followed endpoints in turn, evenly spread
// over LoadInterval.
func (m *Manager) pollLoads(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxLoadReads)
	for next := 0; ; next++ {
		targets := m.followed.Load()
		spacing := m.options.LoadInterval
		if targets != nil && len(*targets) > 0 {
			to := (*targets)[next%len(*targets)]
			group.TryGo(func() error { m.readLoad(ctx, to); return nil })
			spacing = m.pollSpacing(len(*targets))
		}
		if !wait.For(ctx, jittered(spacing)) {
			return group.Wait()
		}
	}
}

// pollSpacing returns the time between two reads of load reports.
func (m *Manager) pollSpacing(followed int) time.Duration {
	spacing := minPollSpacing
	if followed > m.options.FollowAll {
		spacing = largePollSpacing
	}
	return max(m.options.LoadInterval/time.Duration(followed), spacing)
}

func (m *Manager) readLoad(ctx context.Context, to target) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	started := m.options.Now()
	report, err := m.options.Loads.Load(call, to.address)
	if ctx.Err() == nil {
		m.send(ctx, loadResult{target: to, startedAt: started, report: report, err: err})
	}
}

// loadResult is an input that carries one reading of a load report.
type loadResult struct {
	target
	startedAt time.Time
	report    engine.LoadReport
	err       error
}

func (l loadResult) apply(ctx context.Context, m *Manager, now time.Time) {
	t, known := m.endpoints[l.id]
	if !known || t.instance.Address != l.address {
		return
	}
	if l.err != nil {
		m.endpointFailed(ctx, t)
		return
	}
	m.endpointAnswered(ctx, t)
	t.running, t.waiting, t.slots = l.report.Running, l.report.Waiting, l.report.Slots
	t.version, t.reportedAt = l.report.WeightVersion, l.report.ReportedAt
	t.recordOwnInFlight(l.startedAt, l.report.ReportedAt)
	m.clearLeavingMark(t, now)
	m.markEndpoints(false)
	if l.report.Leaving {
		m.recordLeaving(l.id, now)
	} else {
		t.notLeavingAt = l.startedAt
	}
	m.updateLeaving(t)
}

// recordOwnInFlight records how many requests of this entry are in flight at the
// endpoint now, and looks up how many were when the endpoint made its report.
func (t *tracked) recordOwnInFlight(now, reportedAt time.Time) {
	if t.history == nil {
		t.history = &policy.History{}
	}
	t.history.Record(now, int(t.live.InFlight.Load()))
	t.ownInFlight = t.history.At(reportedAt)
}

// clearLeavingMark lets traffic use an endpoint again if its answer marked it as
// leaving longer than leavingReportLag ago and it is not leaving any more.
func (m *Manager) clearLeavingMark(t *tracked, now time.Time) {
	markedAt := t.live.LastLeaveReport.Load()
	if markedAt != 0 && !m.leaving(t) && now.Sub(time.Unix(0, markedAt)) > leavingReportLag {
		t.live.LastLeaveReport.Store(0)
	}
}

// endpointFailed counts a failure of an endpoint. After failuresToUnready
// consecutive failures the endpoint is unready.
func (m *Manager) endpointFailed(ctx context.Context, t *tracked) {
	t.failures++
	if t.failures == failuresToUnready {
		event.EndpointUnready.Log(ctx, m.logger, slog.String("endpoint", t.instance.ID))
		m.markEndpoints(false)
		m.dirty.urgent = true
	}
}

// endpointAnswered resets the count of consecutive failures of an endpoint.
func (m *Manager) endpointAnswered(ctx context.Context, t *tracked) {
	if t.failures >= failuresToUnready {
		event.EndpointReady.Log(ctx, m.logger, slog.String("endpoint", t.instance.ID))
		m.markEndpoints(false)
		m.dirty.urgent = true
	}
	t.failures = 0
}
