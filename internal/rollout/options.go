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

// Orders gives weight orders to engines at host:port and reads them back.
type Orders interface {
	Stage(ctx context.Context, address string, order engine.WeightOrder) (engine.WeightState, error)
	Activate(ctx context.Context, address string, order engine.WeightOrder) (engine.WeightState, error)
	State(ctx context.Context, address string) (engine.WeightState, error)
}

// Replica is one engine of a model, as the control side knows it.
type Replica struct {
	ID, Address, Domain string
	ChecksFence         bool
	// ActiveVersion is from its last load report; zero is not known.
	ActiveVersion int64
	// ReportedAt is when that report was heard, by this entry's clock.
	ReportedAt time.Time
}

// Options configure a Carrier. Those up to Rank are required.
type Options struct {
	Store   keyvalue.Store
	Owner   ownership.Owner
	Orders  Orders
	Control Control
	// Newest returns the newest accepted version of each model.
	Newest func() map[string]int64
	// Replicas returns all replicas of a model in all failure domains.
	Replicas func(model string) []Replica
	// Best reports whether this entry has the first claim to a unit.
	Best func(unit string) bool

	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// KeepShare is the share of a domain's replicas that no order is on at any
	// time, 0 to 1. At least one replica is always ordered.
	KeepShare float64
	// StageConcurrency bounds the stagings of one domain at a time, for the
	// sake of the weight store.
	StageConcurrency int
	// StageOrder and ActivateOrder are how long an order may take to begin;
	// StageTimeout and ActivateTimeout how long it may run.
	StageOrder, ActivateOrder     time.Duration
	StageTimeout, ActivateTimeout time.Duration
	// Patience is how long a staged domain waits for the others.
	Patience time.Duration
	// Interval is the time between two looks at what is to be done.
	Interval time.Duration
}

// Defaults of Options.
const (
	defaultKeepShare        = 0.5
	defaultStageConcurrency = 16
	defaultStageOrder       = 2 * time.Second
	defaultActivateOrder    = 2 * time.Second
	defaultStageTimeout     = 2 * time.Minute
	defaultActivateTimeout  = 5 * time.Second
	defaultPatience         = 5 * time.Minute
	defaultInterval         = time.Second
)

// Times of a Carrier.
const (
	// clockSlack is how far the clock of an engine may be off an entry's.
	clockSlack = time.Second
	// reportSlack is how much later than a read-back a report must have come to
	// speak against it.
	reportSlack = 5 * time.Second
	// stateTimeout bounds the reading of an engine's state.
	stateTimeout = 2 * time.Second
	storeTimeout = 2 * time.Second
	// readyWait is how long one watch of the other domains waits.
	readyWait = 20 * time.Second
	// orderBackoff is the time between two tries at one replica.
	orderBackoff = 200 * time.Millisecond
	// maxRest bounds the time between two passes at what is left over.
	maxRest = 15 * time.Second
	// tries at one replica within one pass; the next pass tries again.
	tries = 4
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	setDefault(&o.KeepShare, defaultKeepShare)
	setDefault(&o.StageConcurrency, defaultStageConcurrency)
	setDefault(&o.StageOrder, defaultStageOrder)
	setDefault(&o.ActivateOrder, defaultActivateOrder)
	setDefault(&o.StageTimeout, defaultStageTimeout)
	setDefault(&o.ActivateTimeout, defaultActivateTimeout)
	setDefault(&o.Patience, defaultPatience)
	setDefault(&o.Interval, defaultInterval)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// longestOrder is how long after its owner lost the lease an activation may
// still take effect on an engine that ignores fencing numbers.
func (o *Options) longestOrder() time.Duration {
	return o.ActivateOrder + o.ActivateTimeout + clockSlack
}

// width is how many of n replicas may be under an order at a time.
func (o *Options) width(n int) int {
	kept := int(o.KeepShare*float64(n) + 0.999999)
	return max(1, n-kept)
}
