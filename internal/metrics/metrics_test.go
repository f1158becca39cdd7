package metrics

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/request"
)

func TestTenantsAreBounded(t *testing.T) {
	traffic := NewTraffic(prometheus.NewRegistry())
	for i := range 10 * maxTenants {
		traffic.Ended("lookup", fmt.Sprint("tenant-", i), request.Answered, time.Millisecond)
		traffic.Stale("lookup", fmt.Sprint("tenant-", i), 1)
	}
	require.Equal(t, maxTenants+1, testutil.CollectAndCount(traffic.outcomes), "the remaining tenants share one label")
	require.Equal(t, maxTenants+1, testutil.CollectAndCount(traffic.staleness))
	require.Equal(t, float64(9*maxTenants), testutil.ToFloat64(traffic.outcomes.WithLabelValues("lookup", otherTenant, string(request.Answered))))
}
