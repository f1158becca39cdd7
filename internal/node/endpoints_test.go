package node

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// TestOperatorsSeeWhatEndpointsTake checks that the page and the gauges name the limit of
// an endpoint and its reason.
func TestOperatorsSeeWhatEndpointsTake(t *testing.T) {
	now := time.Now()
	directory := fleet.NewDirectory(slog.New(slog.DiscardHandler))
	for _, id := range []string{"known", "new"} {
		directory.Set(&fleet.Endpoint{ID: id, Service: "app", Slots: 24})
	}
	directory.Publish()
	known, _ := directory.Find("known")
	for i := range 200 {
		inFlight := float64(1 + i%24)
		known.Live.Estimate.Observe(max(inFlight/8, 1), inFlight, 24, now.Add(time.Duration(i-200)*50*time.Millisecond))
	}
	page := endpointTable(directory.All(), now)
	require.Regexp(t, `app +known +24 +0 +10 .*requests take longer from 8\.0 in flight on`, page)
	require.Regexp(t, `app +new +24 +0 +24 .*not observed by this node`, page)
	require.NoError(t, testutil.CollectAndCompare(newEndpointGauges(directory), strings.NewReader(`
# HELP comfreyfront_endpoints Endpoints, by what determines the concurrency that they are believed to take well.
# TYPE comfreyfront_endpoints gauge
comfreyfront_endpoints{reason="slowdown",service="app"} 1
comfreyfront_endpoints{reason="unknown",service="app"} 1
# HELP comfreyfront_endpoint_slots Slots that the endpoints of a service report together.
# TYPE comfreyfront_endpoint_slots gauge
comfreyfront_endpoint_slots{service="app"} 48
`), "comfreyfront_endpoints", "comfreyfront_endpoint_slots"))
}
