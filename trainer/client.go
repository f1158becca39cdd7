package trainer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Options configure a Client. URL is required.
type Options struct {
	// URL is the balancer's, such as http://10.0.0.1:8080.
	URL string
	// HTTPClient makes the calls; nil is a plain one.
	HTTPClient *http.Client
	// Version returns the weight version that the trainer is at; nil is the
	// step's own version throughout.
	Version func() int64
	// MaxSamples bounds one reply; zero is the service's default.
	MaxSamples int
	// Wait is how long a pull waits for samples; zero is five seconds.
	Wait time.Duration
	// Class and Tenant are sent as headers when set.
	Class, Tenant string
}

// Times of a client.
const (
	defaultWait = 5 * time.Second
	// callMargin is how long a call may take beyond the wait that it asks for.
	callMargin   = 5 * time.Second
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Client pulls steps. It is safe for concurrent use.
type Client struct{ options Options }

// New returns a Client.
func New(options Options) *Client {
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{}
	}
	if options.Wait == 0 {
		options.Wait = defaultWait
	}
	return &Client{options: options}
}

// Run creates a step and calls take for each of its samples exactly once, until
// the step is whole. It repeats calls until ctx ends. An error of take ends it.
func (c *Client) Run(ctx context.Context, spec Spec, take func(Sample) error) error {
	return c.Resume(ctx, spec, nil, take)
}

// Resume is Run for a trainer that holds some of the step's samples already.
func (c *Client) Resume(ctx context.Context, spec Spec, holds Holdings, take func(Sample) error) error {
	// Pull numbers start from the clock, so that they rise over a restart too.
	s := &session{client: c, spec: spec, made: time.Now(), account: NewDeliveryTracker(spec, holds, time.Now().UnixMilli())}
	if err := repeat(ctx, s.create); err != nil {
		return err
	}
	for !s.account.Complete() {
		if err := repeat(ctx, func(ctx context.Context) error { return s.pull(ctx, take) }); err != nil {
			return err
		}
	}
	s.confirm(ctx)
	return nil
}

// Cancel drops a step for good.
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

// session is one run of a step.
type session struct {
	client  *Client
	spec    Spec
	made    time.Time
	account *DeliveryTracker
}

func (s *session) version() int64 {
	if s.client.options.Version == nil {
		return s.spec.WeightVersion
	}
	return s.client.options.Version()
}

func (s *session) create(ctx context.Context) error {
	req := s.account.Create()
	req.AgeMillis = time.Since(s.made).Milliseconds()
	body, err := s.client.call(ctx, http.MethodPost, wire.PathSteps, req)
	if err != nil {
		return err
	}
	var reply wire.CreateReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return errRetry.Wrap(err, "malformed reply")
	}
	s.account.Created(reply)
	return nil
}

func (s *session) pull(ctx context.Context, take func(Sample) error) error {
	req := s.account.Pull(s.version())
	req.MaxSamples = s.client.options.MaxSamples
	req.WaitMillis = s.client.options.Wait.Milliseconds()
	body, err := s.client.call(ctx, http.MethodPost, stepPath(s.spec.Trainer, s.spec.Step)+"/"+wire.ActionPull, req)
	if errorx.IsOfType(err, errUnknownStep) {
		return s.create(ctx)
	}
	if errorx.IsOfType(err, errNextPull) {
		s.account.Skip(lastPullOf(err))
		return nil
	}
	if err != nil {
		return err
	}
	var reply wire.PullReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return errRetry.Wrap(err, "malformed reply")
	}
	return s.account.Accept(&reply, s.version(), take)
}

// confirm lets the owner forget the step. Its loss costs nothing but memory.
func (s *session) confirm(ctx context.Context) {
	req := wire.ConfirmRequest{Holds: s.account.Holds(), Epoch: s.account.epoch}
	path := stepPath(s.spec.Trainer, s.spec.Step) + "/" + wire.ActionConfirm
	_, _ = s.client.call(ctx, http.MethodPost, path, req)
}

// repeat calls until the call succeeds, fails for good, or ctx ends.
func repeat(ctx context.Context, call func(context.Context) error) error {
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
