package trainer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
	"github.com/comfreyfront/comfreyfront/internal/strict"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Options configure a Client. Only URL is required.
type Options struct {
	// URL is the base URL of the balancer, such as http://10.0.0.1:8080.
	URL string
	// HTTPClient makes the calls; nil selects one that takes only well-formed and complete answers.
	HTTPClient *http.Client
	// Version returns the current weight version of the trainer; nil selects the
	// weight version of the step.
	Version func() int64
	// MaxSamples bounds the number of samples in one reply; zero selects the
	// default of the service.
	MaxSamples int
	// Wait is how long a pull waits for samples; zero selects five seconds.
	Wait time.Duration
	// Class and Tenant are sent as headers when set.
	Class, Tenant string
}

// Timeouts and backoff of a Client.
const (
	defaultWait = 5 * time.Second
	// callMargin is how long a call may take beyond the wait that it requests.
	callMargin   = 5 * time.Second
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Client creates and pulls training steps. It is safe for concurrent use.
type Client struct{ options Options }

// New returns a Client.
func New(options Options) *Client {
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{Transport: strict.DefaultTransport}
	}
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	return &Client{options: options}
}

// Run creates a step and calls handle exactly once for each of its samples. It
// retries failed calls until the step is complete, a call fails permanently or ctx
// ends, and stops at the first error of handle.
func (c *Client) Run(ctx context.Context, spec Spec, handle func(Sample) error) error {
	return c.Resume(ctx, spec, nil, handle)
}

// Resume is like Run for a trainer that already has the samples in holds.
func (c *Client) Resume(ctx context.Context, spec Spec, holds Holdings, handle func(Sample) error) error {
	// Pull numbers start at the clock's value, so that they also increase across a
	// restart of the trainer.
	s := &session{client: c, spec: spec, createdAt: time.Now(), tracker: NewDeliveryTracker(spec, holds, time.Now().UnixMilli())}
	if err := retry(ctx, s.create); err != nil {
		return err
	}
	for !s.tracker.Complete() {
		if err := retry(ctx, func(ctx context.Context) error { return s.pull(ctx, handle) }); err != nil {
			return err
		}
	}
	s.confirm(ctx)
	return nil
}

// Cancel ends a step permanently. It succeeds if the step is unknown.
func (c *Client) Cancel(ctx context.Context, trainer string, step int64) error {
	_, err := c.call(ctx, http.MethodDelete, stepPath(trainer, step), nil)
	if errorx.IsOfType(err, errUnknownStep) {
		return nil
	}
	return err
}

func stepPath(trainer string, step int64) string {
	return wire.PathSteps + "/" + trainer + "/" + strconv.FormatInt(step, 10)
}

// session is the state of one call of Run or Resume.
type session struct {
	client    *Client
	spec      Spec
	createdAt time.Time
	tracker   *DeliveryTracker
}

func (s *session) version() int64 {
	if s.client.options.Version == nil {
		return s.spec.WeightVersion
	}
	return s.client.options.Version()
}

func (s *session) create(ctx context.Context) error {
	req := s.tracker.Create()
	req.AgeMillis = time.Since(s.createdAt).Milliseconds()
	body, err := s.client.call(ctx, http.MethodPost, wire.PathSteps, req)
	if err != nil {
		return err
	}
	var reply wire.CreateReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return errRetry.Wrap(err, "malformed reply")
	}
	s.tracker.Created(reply)
	return nil
}

func (s *session) pull(ctx context.Context, handle func(Sample) error) error {
	req := s.tracker.Pull(s.version())
	req.MaxSamples = s.client.options.MaxSamples
	req.WaitMillis = s.client.options.Wait.Milliseconds()
	body, err := s.client.call(ctx, http.MethodPost, stepPath(s.spec.Trainer, s.spec.Step)+"/"+wire.ActionPull, req)
	if errorx.IsOfType(err, errUnknownStep) {
		return s.create(ctx)
	}
	if errorx.IsOfType(err, errNextPull) {
		s.tracker.Skip(lastPullOf(err))
		return nil
	}
	if err != nil {
		return err
	}
	var reply wire.PullReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return errRetry.Wrap(err, "malformed reply")
	}
	return s.tracker.Accept(&reply, s.version(), handle)
}

// confirm notifies the owner that it can discard the step. A lost confirmation costs
// only memory at the owner, so errors are ignored.
func (s *session) confirm(ctx context.Context) {
	req := wire.ConfirmRequest{Holds: s.tracker.Holds(), Epoch: s.tracker.epoch}
	path := stepPath(s.spec.Trainer, s.spec.Step) + "/" + wire.ActionConfirm
	_, _ = s.client.call(ctx, http.MethodPost, path, req)
}

// retry repeats call with backoff until it succeeds, fails permanently, or ctx
// ends.
func retry(ctx context.Context, call func(context.Context) error) error {
	pause := firstBackoff
	for {
		err := call(ctx)
		if !errorx.IsOfType(err, errRetry) {
			return err
		}
		if !wait.For(ctx, max(pause, retryAfterOf(err))) {
			return ctx.Err()
		}
		pause = min(2*pause, maxBackoff)
	}
}
