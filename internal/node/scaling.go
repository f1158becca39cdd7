package node

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/comfreyfront/comfreyfront/internal/cluster"
	"github.com/comfreyfront/comfreyfront/internal/duty"
	"github.com/comfreyfront/comfreyfront/internal/fleet"
	"github.com/comfreyfront/comfreyfront/internal/route"
	"github.com/comfreyfront/comfreyfront/internal/scaling"
	"github.com/comfreyfront/comfreyfront/internal/submission"
	"github.com/comfreyfront/comfreyfront/platform"
)

// scalingUnitPrefix is the prefix of the units whose owners order the endpoints of plain
// services. Those of engine services are ordered by the owner of the service's engines, which
// knows the demand.
const scalingUnitPrefix = "scaling/"

// scalers are the controllers of the services whose orders this node holds.
type scalers struct {
	mu     sync.Mutex
	byUnit map[string]*scaler
}

// scaler is the running controller of one service.
type scaler struct {
	controller *scaling.Controller
	stop       func()
}

// replace sets or, if next is nil, removes the controller of a unit, and stops the previous one.
func (s *scalers) replace(unit string, next *scaler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.byUnit[unit]; old != nil {
		old.stop()
	}
	delete(s.byUnit, unit)
	if next == nil {
		return
	}
	if s.byUnit == nil {
		s.byUnit = map[string]*scaler{}
	}
	s.byUnit[unit] = next
}

// statuses returns what this node decided last for each service.
func (s *scalers) statuses() []scaling.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []scaling.Status
	for _, running := range s.byUnit {
		if status := running.controller.Status(); status.Service != "" {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// active reports whether this node orders endpoints of any service.
func (s *scalers) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byUnit) > 0
}

// wantsScalingUnit reports whether a unit of its own must exist for the orders of a service.
func (n *Node) wantsScalingUnit(service route.Service) bool {
	return n.config.ManagementAddress != "" && service.Scaling != nil && !service.Engine
}

// startScaling starts to order endpoints of a service, as the new owner of the unit. owner is
// nil for a plain service.
func (n *Node) startScaling(unit cluster.Unit, service string, owner *submission.Owner) {
	if n.config.ManagementAddress == "" {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	tenure := n.beginTenure(unit)
	observer := &scalingObserver{node: n, service: service, owner: owner}
	controller := scaling.NewController(scaling.Options{
		Service: service, Observe: observer.observe, Tenure: tenure,
		Orderer: orderer{platform.NewManagement(n.config.ManagementAddress)},
		Ordered: n.scalingMetrics.ordered(service), Decided: n.scalingMetrics.decided, Logger: n.logger,
	})
	n.scalers.replace(unit.Name, &scaler{controller: controller, stop: func() {
		cancel()
		go tenure.End() // waits for a call that is being made
		n.scalingMetrics.forget(service)
	}})
	go controller.Run(ctx)
}

// orderer makes orders at the platform's management interface.
type orderer struct{ management *platform.Management }

// OrderEndpoints implements scaling.Orderer.
func (o orderer) OrderEndpoints(ctx context.Context, credentials duty.Credentials, service string, order scaling.Order) error {
	return o.management.OrderEndpoints(ctx, credentials, platform.EndpointsOrder{
		Service: service, FailureDomain: order.Domain, Count: order.Count, Reclaimable: order.Kind == scaling.Reclaimable,
	})
}

// scalingObserver observes a service for its controller.
type scalingObserver struct {
	node    *Node
	service string
	owner   *submission.Owner
	slots   int // of an endpoint, as last seen
}

// observe returns the present state of the service, and false if its endpoints are not ordered
// or not known.
func (o *scalingObserver) observe(now time.Time) (*scaling.Input, bool) {
	configuration := o.node.routes.Load()
	if configuration == nil || !o.node.listed.Load() {
		return nil, false
	}
	service, known := configuration.Services[o.service]
	if !known || service.Scaling == nil {
		return nil, false
	}
	in := &scaling.Input{Now: now, Limits: service.Scaling, There: map[scaling.Group]scaling.Count{}}
	open := 0
	for _, e := range o.node.directory.Of(o.service) {
		busy := int(e.Live.TotalInFlight(now))
		open += busy
		countEndpoint(in.There, e, busy, service.Models, now)
		if e.Slots > 0 && !e.Leaving() {
			o.slots = e.Slots
		}
	}
	in.Slots = o.slots
	if in.Slots == 0 {
		in.Slots = fleet.DefaultSlots
	}
	if o.owner == nil {
		in.Streams = []scaling.Stream{{Open: open}}
		return in, true
	}
	in.Home = o.node.config.FailureDomain
	for _, w := range o.owner.Workloads(service.Models, now) {
		in.Streams = append(in.Streams, streamOf(w))
	}
	return in, true
}

// countEndpoint adds an endpoint to the count of its group.
func countEndpoint(there map[scaling.Group]scaling.Count, e *fleet.Endpoint, busy int, models []string, now time.Time) {
	group := scaling.Group{Domain: e.Zone}
	if e.Reclaimable {
		group.Kind = scaling.Reclaimable
	}
	count := there[group]
	if e.Leaving() {
		count.Draining++
		there[group] = count
		return
	}
	count.Ready++
	count.Busy += busy
	for _, model := range models {
		if e.Live.IsLoading(model, now) {
			count.Loading++
			break
		}
	}
	there[group] = count
}

// streamOf converts a workload to the stream that the controller plans for.
func streamOf(w submission.Workload) scaling.Stream {
	stream := scaling.Stream{Arriving: w.Arriving, Interval: w.Interval}
	for _, open := range w.Open {
		stream.Steps = append(stream.Steps, scaling.Step(open))
	}
	return stream
}

// scalingMetrics are the endpoints of each service whose orders this node holds, by failure
// domain, kind and state, and the orders by their outcome.
type scalingMetrics struct {
	endpoints *prometheus.GaugeVec
	orders    *prometheus.CounterVec
}

func newScalingMetrics(registerer prometheus.Registerer) *scalingMetrics {
	m := &scalingMetrics{
		endpoints: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "comfreyfront", Name: "scaling_endpoints", Help: "Endpoints of a service that are wanted, ordered and there, at the node that orders them.",
		}, []string{"service", "failure_domain", "kind", "state"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "comfreyfront", Name: "scaling_orders_total", Help: "Orders for endpoints, by outcome.",
		}, []string{"service", "kind", "outcome"}),
	}
	registerer.MustRegister(m.endpoints, m.orders)
	return m
}

// ordered returns a function that counts an order for a service.
func (m *scalingMetrics) ordered(service string) func(scaling.Order, string) {
	return func(order scaling.Order, outcome string) {
		m.orders.WithLabelValues(service, order.Kind.String(), outcome).Inc()
	}
}

// decided sets the gauges of a service.
func (m *scalingMetrics) decided(status scaling.Status) {
	for _, g := range status.Groups {
		for state, count := range map[string]int{"wanted": g.Wanted, "ordered": g.Ordered, "there": g.There, "draining": g.Draining} {
			m.endpoints.WithLabelValues(status.Service, g.Domain, g.Kind.String(), state).Set(float64(count))
		}
	}
}

// forget removes the gauges of a service whose orders this node no longer holds.
func (m *scalingMetrics) forget(service string) {
	m.endpoints.DeletePartialMatch(prometheus.Labels{"service": service})
}
