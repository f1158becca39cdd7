// Package dispatch sends requests to endpoints. It admits each request, chooses an
// endpoint, retries, hedges and resumes where that is safe, and ends the request with
// exactly one outcome.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/metrics"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Observer receives the outcomes of calls to endpoints. Its methods must not block.
type Observer interface {
	// EndpointLeaving is called when an endpoint reports that it is leaving.
	EndpointLeaving(id string)
	// EndpointFailed is called when a call fails in a way that indicates a fault of the
	// endpoint.
	EndpointFailed(id string)
	// EndpointAnswered is called when a call received a complete answer.
	EndpointAnswered(id string)
}

// Options configures a Dispatcher. All fields without a default are required.
type Options struct {
	Snapshots *control.Snapshots
	Policy    policy.Policy
	Observer  Observer
	Suspects  Suspects
	Metrics   *metrics.Traffic
	Engines   *engine.Client
	Services  *engine.ServiceClient
	// RetryBackoff is the backoff before the first retry; zero selects the default.
	RetryBackoff time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// Dispatcher sends requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	logger  *slog.Logger
	lengths policy.Lengths
}

// New returns a dispatcher.
func New(options Options, logger *slog.Logger) *Dispatcher {
	if options.RetryBackoff == 0 {
		options.RetryBackoff = defaultRetryBackoff
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	return &Dispatcher{options: options, logger: logger}
}

// Call contains the parameters common to all requests.
type Call struct {
	RequestID string
	Class     class.Class
	Tenant    string
	// Arrived is when the caller's request arrived.
	Arrived time.Time
	// Due is when the complete answer is due; zero derives it from the class's lateness.
	Due time.Time
	// MinVersion is the lowest weight version that the caller accepts.
	MinVersion int64
	// Idempotent requests may run more than once.
	Idempotent bool
	// AllowLate requests prefer a late answer to a refusal.
	AllowLate bool
	// Urgent requests are treated as interactive work, like a straggler that its step is
	// waiting for.
	Urgent bool
	// Fingerprint identifies the content of the request, to detect requests that crash
	// endpoints.
	Fingerprint Fingerprint
}

func (c *Call) due() time.Time {
	if !c.Due.IsZero() {
		return c.Due
	}
	if c.Class.Lateness <= 0 {
		return time.Time{}
	}
	return c.Arrived.Add(c.Class.Lateness)
}

func (d *Dispatcher) newWork(call *Call, kind endpoint.Kind, serves string) *policy.Work {
	return &policy.Work{
		Class:          call.Class.Name,
		Tenant:         call.Tenant,
		Model:          serves,
		Kind:           kind,
		ExpectedTokens: 1,
		Deadline:       call.due(),
		MinVersion:     call.MinVersion,
		Interactive:    call.Urgent || policy.Interactive(call.Class) && !call.AllowLate,
		Idempotent:     call.Idempotent,
		AllowLate:      call.AllowLate,
	}
}

func (d *Dispatcher) now() time.Time { return d.options.Clock() }

// pollInterval is the interval at which a request without an eligible endpoint retries the
// choice.
const pollInterval = 20 * time.Millisecond

// choose checks whether the request is suspected or convicted and picks an endpoint.
func (d *Dispatcher) choose(ctx context.Context, call *Call, work *policy.Work) (*endpoint.Endpoint, error) {
	restrictions, err := d.options.Suspects.Check(call.Fingerprint)
	if err != nil {
		return nil, err
	}
	work.Exclusive = restrictions.Exclusive
	return d.pick(ctx, work, restrictions.Avoid)
}

// deferGrace is how long after its deadline a suspect may still be deferred.
const deferGrace = 10 * time.Second

// waitDeferred waits for pollInterval before a deferred suspect is tried again. It fails
// with the reason if the suspect has been deferred for too long.
func (d *Dispatcher) waitDeferred(ctx context.Context, work *policy.Work, reason error) error {
	if !work.AllowLate && d.now().After(work.Deadline.Add(deferGrace)) {
		return request.ErrRefused.Wrap(reason, "the request could not get exclusive use of an endpoint in time")
	}
	return sleep(ctx, pollInterval)
}

// pick chooses an endpoint and waits for one until the work is due; after that it fails
// with ErrNoEndpoint. Work that may be late or needs exclusive use of an endpoint waits until
// ctx ends. Endpoints that were already tried are chosen again only if no other endpoint is
// left.
func (d *Dispatcher) pick(ctx context.Context, work *policy.Work, avoid []string) (*endpoint.Endpoint, error) {
	started := d.now()
	defer func() { work.Waited += d.now().Sub(started) }()
	for {
		chosen, err := d.pickNow(work, avoid)
		if err == nil {
			return chosen, nil
		}
		if !work.AllowLate && !work.Exclusive && !d.now().Before(work.Deadline) {
			return nil, err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, err
		}
	}
}

func (d *Dispatcher) pickNow(work *policy.Work, avoid []string) (*endpoint.Endpoint, error) {
	endpoints := d.options.Snapshots.Load().Endpoints[work.Model]
	if len(endpoints) == 0 {
		return nil, errNotServed(work.Model)
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	candidate := *work
	candidate.Excluded = append(slices.Clone(work.Excluded), avoid...)
	if chosen, ok := d.options.Policy.Picker.Pick(endpoints, &candidate, d.now(), random); ok {
		return chosen, nil
	}
	work.Excluded = nil
	candidate.Excluded = avoid
	if chosen, ok := d.options.Policy.Picker.Pick(endpoints, &candidate, d.now(), random); ok {
		return chosen, nil
	}
	return nil, errNoneEligible(work.Model)
}

// sleep waits for the duration, or fails if the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if wait.For(ctx, duration) {
		return nil
	}
	return errCanceledUnsent(ctx)
}

// observe records the outcome of one call at an endpoint.
func (d *Dispatcher) observe(chosen *endpoint.Endpoint, err error) {
	switch outcomeOf(err) {
	case outcomeComplete, outcomeRejected:
		chosen.Live.Failures.Store(0)
		d.options.Observer.EndpointAnswered(chosen.ID)
	case outcomeLeaving:
		chosen.Live.LastLeaveReport.Store(d.now().UnixNano())
		d.options.Observer.EndpointLeaving(chosen.ID)
	case outcomeNotSent, outcomeFailed:
		chosen.Live.Failures.Add(1)
		d.options.Observer.EndpointFailed(chosen.ID)
	case outcomeNotRun, outcomeCanceled:
	}
}
