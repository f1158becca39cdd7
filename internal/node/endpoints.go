package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/concurrency"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// pathEndpoints is the page of this node's estimates of each endpoint.
const pathEndpoints = "/endpoints"

// serveEndpoints responds with one line for each endpoint: what it is believed to take and
// why.
func (n *Node) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, endpointTable(n.directory.All(), time.Now())) // the client may have disconnected
}

// endpointTable returns the table of serveEndpoints.
func endpointTable(endpoints []*fleet.Endpoint, now time.Time) string {
	var text strings.Builder
	t := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tendpoint\tslots\tin flight\tlimit\tpace\tnow\twhy") // a strings.Builder does not fail
	for _, e := range endpoints {
		slots := e.SlotCount()
		state := e.Live.Estimate.State(slots, now)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%.2f\t%.2f\t%s\n", e.Service, e.ID, slots, e.Live.TotalInFlight(now),
			state.Limit, state.Base, state.Slowdown, explainState(e, state))
	}
	_ = t.Flush() // a strings.Builder does not fail
	return text.String()
}

// explainState returns what determines the limit of an endpoint.
func explainState(e *fleet.Endpoint, s concurrency.State) string {
	var why []string
	if e.Leaving() {
		why = append(why, "leaving")
	}
	switch s.Reason {
	case concurrency.ReasonUnknown:
		return strings.Join(append(why, "not observed by this node; its slots are the limit"), "; ")
	case concurrency.ReasonSlots:
		why = append(why, "no slowdown below its slots")
	case concurrency.ReasonSlowdown:
		why = append(why, fmt.Sprintf("requests take longer from %.1f in flight on", s.Knee))
	case concurrency.ReasonRefusals:
		why = append(why, "it refused requests")
	}
	if s.Bad() {
		why = append(why, fmt.Sprintf("%.1f times the usual time of the service", s.Base*s.Slowdown))
	}
	return strings.Join(append(why, fmt.Sprintf("last seen %v ago", s.Age.Round(time.Millisecond))), "; ")
}

// endpointGauges are the limits of endpoints by service as this node believes them. The
// number of label values is bounded by the operator's services and the reasons of limits.
type endpointGauges struct {
	directory                        *fleet.Directory
	endpoints, slow, limit, capacity *prometheus.Desc
}

// newEndpointGauges returns a collector of the endpoints in the directory.
func newEndpointGauges(directory *fleet.Directory) *endpointGauges {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("comfreyfront_"+name, help, append([]string{"service"}, labels...), nil)
	}
	return &endpointGauges{
		directory: directory,
		endpoints: describe("endpoints", "Endpoints, by what determines the concurrency that they are believed to take well.", "reason"),
		slow:      describe("endpoints_slow", "Endpoints that are believed to take noticeably longer than usual."),
		limit:     describe("endpoint_limit", "Requests that the endpoints of a service are believed to take well together."),
		capacity:  describe("endpoint_slots", "Slots that the endpoints of a service report together."),
	}
}

// Describe implements prometheus.Collector.
func (g *endpointGauges) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{g.endpoints, g.slow, g.limit, g.capacity} {
		descriptions <- d
	}
}

// serviceTotals are the sums over the endpoints of a service.
type serviceTotals struct {
	byReason           map[concurrency.Reason]int
	slow, slots, limit float64
}

// Collect implements prometheus.Collector.
func (g *endpointGauges) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	services := map[string]*serviceTotals{}
	for _, e := range g.directory.All() {
		t := services[e.Service]
		if t == nil {
			t = &serviceTotals{byReason: map[concurrency.Reason]int{}}
			services[e.Service] = t
		}
		state := e.Live.Estimate.State(e.SlotCount(), now)
		t.byReason[state.Reason]++
		t.slots += float64(e.SlotCount())
		t.limit += state.Limit
		if state.Bad() {
			t.slow++
		}
	}
	for service, t := range services {
		gauge := func(d *prometheus.Desc, value float64, labels ...string) {
			metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, append([]string{service}, labels...)...)
		}
		for reason, count := range t.byReason {
			gauge(g.endpoints, float64(count), reason.String())
		}
		gauge(g.slow, t.slow)
		gauge(g.limit, t.limit)
		gauge(g.capacity, t.slots)
	}
}
