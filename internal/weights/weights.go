// Package weights brings the endpoints that hold a model to its named version.
// One node orders, fenced by the epoch of its ownership.
package weights

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Mode says what becomes of runs while an endpoint loads weights.
type Mode int

// Modes of an order.
const (
	// Continue: runs go on under the new version.
	Continue Mode = iota
	// Finish: runs end before the weights are loaded.
	Finish
	// Reset: runs are broken off.
	Reset
)

// Order tells one endpoint to load a version of a model.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder names the node that orders, and Epoch fences it.
	Holder string
	Epoch  int64
	// Accepted is the number of orders that the endpoint must have accepted
	// before: an order that comes late finds another number.
	Accepted int64
}

// Verdict is an endpoint's answer to an order.
type Verdict int

// Verdicts.
const (
	// Unknown: no answer; it may be carried out now or later.
	Unknown Verdict = iota
	// Accepted: it is being carried out.
	Accepted
	// AlreadyLoaded: the version is loaded already.
	AlreadyLoaded
	// Busy: another order runs, or the count of orders differs.
	Busy
	// Fenced: an owner with a higher epoch ordered before.
	Fenced
)

// Report is an endpoint's own word of its weights.
type Report struct {
	Busy     bool
	Accepted int64
	Versions map[string]int64
}

// Engines carries orders to endpoints.
type Engines interface {
	Order(ctx context.Context, e *fleet.Endpoint, order Order) (Verdict, error)
	Report(ctx context.Context, e *fleet.Endpoint) (Report, error)
}

// Bounds of orders.
const (
	// atOnceShare is the share of a service's endpoints that load together:
	// more at once make all of them slower.
	atOnceShare = 0.2
	// loadTime is how long an endpoint is believed to load unless it tells.
	loadTime = 900 * time.Millisecond
	// reportEvery is how often an endpoint that loads is asked.
	reportEvery = 250 * time.Millisecond
	// refusedPause is how long an endpoint that did not accept is left alone.
	refusedPause = 500 * time.Millisecond
)

// atOnce returns how many endpoints of n may load together.
func atOnce(n int) int {
	most := int(atOnceShare*float64(n) + 0.999)
	return max(most, 1)
}
