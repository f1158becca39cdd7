package scaling

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/event"
)

// Orderer makes one order for endpoints of a service. The count is absolute. Its errors are
// those of package duty.
type Orderer interface {
	OrderEndpoints(ctx context.Context, credentials duty.Credentials, service string, order Order) error
}

// Outcomes of an order.
const (
	OutcomeConfirmed = "confirmed"
	OutcomeRefused   = "refused"
	OutcomeUnknown   = "unknown"
	OutcomeDelayed   = "delayed"
)

// Options configures a Controller.
type Options struct {
	Service string
	// Observe returns the present state; false means that the service has no bounds for
	// orders, or that its endpoints are not known yet.
	Observe func(now time.Time) (*Input, bool)
	Tenure  duty.Tenure
	Orderer Orderer
	// Ordered is called with the outcome of each order, and Decided with each new status.
	Ordered func(order Order, outcome string)
	Decided func(Status)
	Logger  *slog.Logger
}

// GroupStatus is what an operator sees of a group.
type GroupStatus struct {
	Group
	Wanted, Ordered, There, Draining int
	Refused                          bool
}

// Status is what an operator sees of a service.
type Status struct {
	Service string
	Urgent  int
	Reason  Reason
	Groups  []GroupStatus
}

// Controller carries out the decisions for one service while this node holds its orders. All
// orders are made one after the other in the goroutine of Run.
type Controller struct {
	options Options
	planner *Planner
	now     func() time.Time
	// unconfirmed are the orders that may have taken effect or may do so later.
	unconfirmed map[Group]Order

	mu     sync.Mutex
	status Status
}

// NewController returns a controller; the caller must call Run.
func NewController(options Options) *Controller {
	return &Controller{options: options, planner: NewPlanner(), now: time.Now, unconfirmed: map[Group]Order{}}
}

const (
	// decideInterval is the time between decisions.
	decideInterval = 500 * time.Millisecond
	// orderTimeout bounds an order, the wait for permission to make it included.
	orderTimeout = 3 * time.Second
)

// Run decides and orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.round(ctx)
		}
	}
}

// Status returns what was decided last.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// round makes one decision and its orders.
func (c *Controller) round(ctx context.Context) {
	in, ok := c.options.Observe(c.now())
	if !ok {
		return
	}
	plan := c.planner.Plan(in)
	for _, group := range plan.GivenUp {
		delete(c.unconfirmed, group)
		event.EndpointsNotCome.Log(ctx, c.options.Logger, append(c.attributes(group), slog.Int("there", in.There[group].Ready))...)
	}
	c.publish(plan, in)
	for _, order := range c.withUnconfirmed(plan.Orders) {
		if ctx.Err() != nil || !c.order(ctx, order, plan, in) {
			break
		}
	}
	c.publish(plan, in)
}

// withUnconfirmed adds the orders that are not confirmed yet and not replaced by newer ones.
func (c *Controller) withUnconfirmed(orders []Order) []Order {
	replaced := map[Group]bool{}
	for _, order := range orders {
		replaced[order.Group] = true
	}
	for _, group := range sortedGroups(c.unconfirmed) {
		if !replaced[group] {
			orders = append(orders, c.unconfirmed[group])
		}
	}
	return orders
}

// order makes one order. It returns false if no further one should be tried now.
func (c *Controller) order(ctx context.Context, order Order, plan Plan, in *Input) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	called := false
	err := c.options.Tenure.Do(ctx, func(ctx context.Context, credentials duty.Credentials) error {
		called = true
		return c.options.Orderer.OrderEndpoints(ctx, credentials, c.options.Service, order)
	})
	in.Now = c.now() // the call may have taken seconds
	attrs := append(c.attributes(order.Group), slog.Int("count", order.Count), slog.Int("there", in.There[order.Group].Ready),
		slog.Int("wanted", plan.Wanted), slog.Int("urgent", plan.Urgent), slog.String("reason", string(order.Reason)))
	switch {
	case err == nil:
		delete(c.unconfirmed, order.Group)
		c.planner.Placed(order, in)
		c.report(order, OutcomeConfirmed)
		event.EndpointsOrdered.Log(ctx, c.options.Logger, attrs...)
		return true
	case !called || hadNoEffect(err):
		if called {
			c.report(order, OutcomeDelayed)
			event.EndpointsOrderDelayed.Log(ctx, c.options.Logger, append(attrs, slog.String("cause", err.Error()))...)
		}
		return false
	case errorx.IsOfType(err, duty.ErrRefused):
		delete(c.unconfirmed, order.Group)
		c.planner.Refused(order.Group, in)
		c.report(order, OutcomeRefused)
		event.EndpointsRefused.Log(ctx, c.options.Logger, append(attrs, slog.String("cause", err.Error()))...)
		return true
	}
	c.unconfirmed[order.Group] = order
	c.planner.Placed(order, in)
	c.report(order, OutcomeUnknown)
	event.EndpointsOrderUnknown.Log(ctx, c.options.Logger, append(attrs, slog.String("cause", err.Error()))...)
	return false
}

// hadNoEffect reports whether the error shows that a call had no effect and may be made
// later.
func hadNoEffect(err error) bool {
	return errorx.IsOfType(err, duty.ErrNotHeld) || errorx.IsOfType(err, duty.ErrOverRate) || errorx.IsOfType(err, duty.ErrUnavailable) || errorx.IsOfType(err, duty.ErrSuperseded)
}

// report passes the outcome of an order to the configured callback.
func (c *Controller) report(order Order, outcome string) {
	if c.options.Ordered != nil {
		c.options.Ordered(order, outcome)
	}
}

// attributes returns the log attributes that identify a group.
func (c *Controller) attributes(group Group) []slog.Attr {
	return []slog.Attr{slog.String("service", c.options.Service), slog.String("failure_domain", group.Domain), slog.String("kind", group.Kind.String())}
}

// publish makes the decision visible to operators.
func (c *Controller) publish(plan Plan, in *Input) {
	status := Status{Service: c.options.Service, Urgent: plan.Urgent, Reason: plan.Reason}
	known := map[Group]struct{}{}
	for group := range in.There {
		known[group] = struct{}{}
	}
	for group := range plan.Targets {
		known[group] = struct{}{}
	}
	blocked := c.planner.blocked(in)
	for _, group := range sortedGroups(known) {
		count := in.There[group]
		wanted, decided := plan.Targets[group]
		if !decided && plan.Reason == ReasonNone {
			wanted = count.Ready
		}
		status.Groups = append(status.Groups, GroupStatus{
			Group: group, Wanted: wanted, Ordered: c.planner.expected(in, group), There: count.Ready, Draining: count.Draining, Refused: blocked[group],
		})
	}
	c.mu.Lock()
	c.status = status
	c.mu.Unlock()
	if c.options.Decided != nil {
		c.options.Decided(status)
	}
}
