package rollout

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
)

// Orders sends weight orders to engines and reads their weight state. Addresses have
// the form host:port.
type Orders interface {
	Stage(ctx context.Context, address string, order engine.WeightOrder) (engine.WeightState, error)
	Activate(ctx context.Context, address string, order engine.WeightOrder) (engine.WeightState, error)
	State(ctx context.Context, address string) (engine.WeightState, error)
}

// Replica is one engine of a model, as known to the control plane.
type Replica struct {
	ID, Address, Domain string
	// ChecksFence is true if the engine rejects orders with an outdated fencing
	// number.
	ChecksFence bool
	// ActiveVersion is the version in the engine's last load report; zero means
	// unknown.
	ActiveVersion int64
	// ReportedAt is when that report was received, by this entry's clock.
	ReportedAt time.Time
}

// Options configures an Executor. The fields up to Best are required.
type Options struct {
	Store   keyvalue.Store
	Owner   ownership.Owner
	Orders  Orders
	Control Control
	// Newest returns the newest accepted version of each model.
	Newest func() map[string]int64
	// Replicas returns all replicas of a model in all failure domains.
	Replicas func(model string) []Replica
	// Best reports whether this entry is the preferred owner of a unit.
	Best func(unit string) bool

	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// KeepFraction is the fraction of a domain's replicas, 0 to 1, that are free of
	// orders at any time. One replica may always be under an order.
	KeepFraction float64
	// StageConcurrency is the maximum number of replicas of one domain that stage at
	// the same time. It limits the load on the weight store.
	StageConcurrency int
	// StageOrder and ActivateOrder are the times within which an engine must begin an
	// order. StageTimeout and ActivateTimeout are the timeouts of the whole calls.
	StageOrder, ActivateOrder     time.Duration
	StageTimeout, ActivateTimeout time.Duration
	// WaitLimit is the maximum time that a staged domain waits for the others.
	WaitLimit time.Duration
	// Interval is the time between two checks for units that need a pass.
	Interval time.Duration
}

// Default values of Options.
const (
	defaultKeepFraction     = 0.5
	defaultStageConcurrency = 16
	defaultStageOrder       = 2 * time.Second
	defaultActivateOrder    = 2 * time.Second
	defaultStageTimeout     = 2 * time.Minute
	defaultActivateTimeout  = 5 * time.Second
	defaultWaitLimit        = 5 * time.Minute
	defaultInterval         = time.Second
)

// Timeouts, tolerances and retry limits of an Executor.
const (
	// clockSlack is the tolerated difference between the clocks of an engine and an
	// entry.
	clockSlack = time.Second
	// reportSlack is how much later than a read-back a load report must be received
	// to override it.
	reportSlack = 5 * time.Second
	// stateTimeout is the timeout for reading an engine's state.
	stateTimeout = 2 * time.Second
	storeTimeout = 2 * time.Second
	// readyWait is the maximum duration of one watch call for the marks of other
	// domains.
	readyWait = 20 * time.Second
	// orderBackoff is the wait after the first failed attempt at one replica. It
	// doubles with each further attempt.
	orderBackoff = 200 * time.Millisecond
	// maxPassBackoff is the maximum wait between two passes of a unit with replicas
	// left.
	maxPassBackoff = 15 * time.Second
	// maxAttempts is the maximum number of attempts at one replica within one pass.
	// Later passes retry the replica.
	maxAttempts = 4
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.KeepFraction, defaultKeepFraction)
	setDefault(&o.StageConcurrency, defaultStageConcurrency)
	setDefault(&o.StageOrder, defaultStageOrder)
	setDefault(&o.ActivateOrder, defaultActivateOrder)
	setDefault(&o.StageTimeout, defaultStageTimeout)
	setDefault(&o.ActivateTimeout, defaultActivateTimeout)
	setDefault(&o.WaitLimit, defaultWaitLimit)
	setDefault(&o.Interval, defaultInterval)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// longestOrder returns how long after its owner lost the lease an activation may
// still take effect on an engine that ignores fencing numbers.
func (o *Options) longestOrder() time.Duration {
	return o.ActivateOrder + o.ActivateTimeout + clockSlack
}

// concurrency returns how many of n replicas may be under an order at the same
// time.
func (o *Options) concurrency(n int) int {
	kept := int(o.KeepFraction*float64(n) + 0.999999)
	return max(1, n-kept)
}
