// Package dispatch sends requests to endpoints: it admits them, chooses an
// endpoint, retries, hedges and resumes where that is safe, and ends each in
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

// Observer is told what traffic sees of endpoints. Its methods do not block.
type Observer interface {
	// EndpointLeaving: the endpoint itself said that it is leaving.
	EndpointLeaving(id string)
	// EndpointFailed: a call failed in a way that speaks against the endpoint.
	EndpointFailed(id string)
	// EndpointAnswered: a call was answered whole.
	EndpointAnswered(id string)
}

// Options of a dispatcher. All fields are needed but those with a default.
type Options struct {
	Snapshots *control.Snapshots
	Policy    policy.Policy
	Observer  Observer
	Suspects  Suspects
	Metrics   *metrics.Traffic
	Engines   *engine.Client
	Services  *engine.ServiceClient
	// RetryPause is the first pause before a further attempt; zero takes the
	// default.
	RetryPause time.Duration
	// Clock tells the time; nil is time.Now.
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
	if options.RetryPause == 0 {
		options.RetryPause = defaultRetryPause
	}
	if options.Clock == nil {
		options.Clock = time.Now
	}
	return &Dispatcher{options: options, logger: logger}
}

// Call is what all requests have in common.
type Call struct {
	RequestID string
	Class     class.Class
	Tenant    string
	// Arrived is when the caller's request came.
	Arrived time.Time
	// Due is when the whole answer is due; zero takes the class's lateness.
	Due time.Time
	// MinVersion is the lowest weight version that the caller accepts.
	MinVersion int64
	// Idempotent: it may run more than once.
	Idempotent bool
	// AllowLate: a late answer is better than a refusal.
	AllowLate bool
	// Urgent: it takes the places of work that somebody waits on, as a straggler
	// that its step waits for.
	Urgent bool
	// Fingerprint identifies its content, to find requests that crash endpoints.
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

// pollInterval is how often a request that finds no endpoint looks again.
const pollInterval = 20 * time.Millisecond

// choose checks what is known of the request by now and picks an endpoint.
func (d *Dispatcher) choose(ctx context.Context, call *Call, work *policy.Work) (*endpoint.Endpoint, error) {
	standing, err := d.options.Suspects.Check(call.Fingerprint)
	if err != nil {
		return nil, err
	}
	work.Exclusive = standing.Exclusive
	return d.pick(ctx, work, standing.Avoid)
}

// holdGrace is how long after it was due a suspect is still held back.
const holdGrace = 10 * time.Second

// holdBack waits a little, so that a suspect that may not run now is tried
// again, or fails with the reason when that has taken too long.
func (d *Dispatcher) holdBack(ctx context.Context, work *policy.Work, reason error) error {
	if !work.AllowLate && d.now().After(work.Deadline.Add(holdGrace)) {
		return request.ErrRefused.Wrap(reason, "it could not run alone in time")
	}
	return sleep(ctx, pollInterval)
}

// pick chooses an endpoint; endpoints that were tried are taken again only when
// no other is left. It waits for one until the work is due, and fails with
// ErrNoEndpoint.
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
		return nil, errNoneServes(work.Model)
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
	return nil, errNoneReady(work.Model)
}

// sleep waits, or fails when the context ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	if wait.For(ctx, duration) {
		return nil
	}
	return errGone(ctx)
}

// observe records how one call at an endpoint ended.
func (d *Dispatcher) observe(chosen *endpoint.Endpoint, err error) {
	switch verdictOf(err) {
	case verdictWhole, verdictRejected:
		chosen.Live.Failures.Store(0)
		d.options.Observer.EndpointAnswered(chosen.ID)
	case verdictLeaving:
		chosen.Live.LastLeaveWord.Store(d.now().UnixNano())
		d.options.Observer.EndpointLeaving(chosen.ID)
	case verdictNotSent, verdictBroken:
		chosen.Live.Failures.Add(1)
		d.options.Observer.EndpointFailed(chosen.ID)
	case verdictNotRun, verdictCanceled:
	}
}
