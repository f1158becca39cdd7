package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
)

func TestReadinessListsWhatIsRefused(t *testing.T) {
	confirmed := time.Now()
	cases := []struct {
		name     string
		snapshot control.Snapshot
		draining bool
		status   int
		want     string
	}{
		{"no configuration", control.Snapshot{StoreReachable: true}, false, http.StatusServiceUnavailable, "no configuration was read"},
		{"peers unknown", control.Snapshot{ConfirmedAt: confirmed, StoreReachable: true}, false, http.StatusServiceUnavailable, "other entries"},
		{"healthy", control.Snapshot{ConfirmedAt: confirmed, Settled: true, StoreReachable: true}, false, http.StatusOK, "ready\n"},
		{"store unreachable", control.Snapshot{ConfirmedAt: confirmed, Settled: true, PeersReachable: true}, false, http.StatusOK, "degraded"},
		{"cut off", control.Snapshot{ConfirmedAt: confirmed, Settled: true}, false, http.StatusOK, "cut off"},
		{"draining", control.Snapshot{ConfirmedAt: confirmed, StoreReachable: true}, true, http.StatusServiceUnavailable, "shutting down"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.snapshot.Classes = &class.Document{}
			h := &health{snapshots: &control.Snapshots{}}
			h.snapshots.Publish(&c.snapshot)
			if c.draining {
				h.drain()
			}
			response := httptest.NewRecorder()
			h.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/readyz", nil))
			require.Equal(t, c.status, response.Code)
			require.Contains(t, response.Body.String(), c.want)
		})
	}
}
