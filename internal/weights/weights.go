// Package weights loads the target version of each model on the endpoints that serve it.
// One node, the owner of the service's unit, sends the orders; they are fenced by the
// epoch of its ownership.
package weights

import (
	"context"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/fleet"
)

// Mode determines what happens to runs in flight while an endpoint loads weights.
type Mode int

// Modes of an order.
const (
	// Continue means that runs continue under the new version.
	Continue Mode = iota
	// Finish means that runs complete before the weights are loaded.
	Finish
	// Reset means that runs are aborted.
	Reset
)

// Order requests one endpoint to load a version of a model.
type Order struct {
	Model   string
	Version int64
	Mode    Mode
	// Holder names the node that sends the order, and Epoch fences the order.
	Holder string
	Epoch  int64
	// Accepted is the number of orders that the endpoint must have accepted before this
	// one. A delayed order finds a different number and is refused.
	Accepted int64
}

// Verdict is the outcome of an order.
type Verdict int

// Verdicts.
const (
	// Unknown means that there was no response. The endpoint may have accepted the order or
	// may still do so.
	Unknown Verdict = iota
	// Accepted means that the endpoint is loading the version.
	Accepted
	// AlreadyLoaded means that the endpoint already serves the version.
	AlreadyLoaded
	// Busy means that the endpoint is carrying out another order, or that its count of
	// accepted orders differs from the count in the order.
	Busy
	// Fenced means that an owner with a higher epoch has already sent an order.
	Fenced
)

// Report is what an endpoint reports about its weights.
type Report struct {
	Busy     bool
	Accepted int64
	Versions map[string]int64
}

// Engines sends orders to endpoints and requests their reports.
type Engines interface {
	Order(ctx context.Context, e *fleet.Endpoint, order Order) (Verdict, error)
	Report(ctx context.Context, e *fleet.Endpoint) (Report, error)
}

// Limits and timing of orders.
const (
	// parallelLoadFraction is the fraction of a service's endpoints that may load in
	// parallel: more of them slow each other down.
	parallelLoadFraction = 0.2
	// assumedLoadTime is how long an endpoint is assumed to load a version unless it
	// reports otherwise.
	assumedLoadTime = 900 * time.Millisecond
	// busyLoadTime is how long an endpoint that carries out an order of another owner is
	// assumed to load; its reports, which are read more often, tell when it has ended.
	busyLoadTime = 600 * time.Millisecond
	// reportInterval is the time between report requests to an endpoint that loads.
	reportInterval = 250 * time.Millisecond
	// refusedPause is the pause before the next call to an endpoint that did not accept an
	// order or did not respond.
	refusedPause = 500 * time.Millisecond
)

// maxParallelLoads returns how many of n endpoints may load in parallel.
func maxParallelLoads(n int) int {
	limit := int(parallelLoadFraction*float64(n) + 0.999)
	return max(limit, 1)
}
