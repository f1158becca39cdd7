package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/comfreyfront/comfreyfront/internal/control"
)

// health serves the readiness check.
type health struct {
	snapshots *control.Snapshots
	draining  atomic.Bool
}

// drain makes the readiness check fail from now on.
func (h *health) drain() { h.draining.Store(true) }

// ServeHTTP serves the readiness check. A ready entry that is degraded lists what
// it refuses.
func (h *health) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	snapshot := h.snapshots.Load()
	switch {
	case h.draining.Load():
		http.Error(w, "not ready: shutting down", http.StatusServiceUnavailable)
	case snapshot.ConfirmedAt.IsZero():
		http.Error(w, "not ready: no configuration was read yet, neither from the platform's service nor from a peer", http.StatusServiceUnavailable)
	case !snapshot.Settled:
		http.Error(w, "not ready: the other entries are not known yet", http.StatusServiceUnavailable)
	case snapshot.Isolated():
		fmt.Fprintln(w, "ready, cut off: neither the platform's key-value service nor another entry answers; classes cannot be confirmed; refused as not run: requests with an Idempotency-Key once the lease of their partition's owner has run out, changes of classes, new weight rollouts")
	case !snapshot.StoreReachable:
		fmt.Fprintln(w, "ready, degraded: the platform's key-value service does not answer; refused as not run: requests with an Idempotency-Key once the lease of their partition's owner has run out, changes of classes, new weight rollouts")
	default:
		fmt.Fprintln(w, "ready")
	}
}

func serveLive(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "alive")
}
