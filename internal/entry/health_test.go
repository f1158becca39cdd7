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

func TestReadinessSaysWhatIsRefused(t *testing.T) {
	confirmed := time.Now()
	cases := []struct {
		name     string
		snapshot control.Snapshot
		draining bool
		status   int
		want     string
	}{
		{"nothing known yet", control.Snapshot{StoreReachable: true}, false, http.StatusServiceUnavailable, "no configuration was read"},
		{"just started", control.Snapshot{ConfirmedAt: confirmed, StoreReachable: true}, false, http.StatusServiceUnavailable, "other entries"},
		{"whole", control.Snapshot{ConfirmedAt: confirmed, Settled: true, StoreReachable: true}, false, http.StatusOK, "ready\n"},
		{"store away", control.Snapshot{ConfirmedAt: confirmed, Settled: true, PeersReachable: true}, false, http.StatusOK, "degraded"},
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
			answer := httptest.NewRecorder()
			h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/readyz", nil))
			require.Equal(t, c.status, answer.Code)
			require.Contains(t, answer.Body.String(), c.want)
		})
	}
}
