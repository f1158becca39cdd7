package control

import (
	"context"
	"time"
)

// Observer receives the observations of endpoints that traffic goroutines make. It
// never blocks: if the control goroutine falls behind, observations are dropped and
// counted.
type Observer struct {
	manager *Manager
}

// Observer returns the Observer for traffic goroutines.
func (m *Manager) Observer() *Observer {
	return m.observer
}

// EndpointLeaving records that the endpoint itself reported that it is leaving.
func (o *Observer) EndpointLeaving(id string) {
	o.offer(observation{id: id, kind: observedLeaving})
}

// EndpointFailed records that a connection to the endpoint was refused or broken.
func (o *Observer) EndpointFailed(id string) {
	o.offer(observation{id: id, kind: observedFailure})
}

// EndpointAnswered records that the endpoint answered.
func (o *Observer) EndpointAnswered(id string) {
	o.offer(observation{id: id, kind: observedAnswer})
}

func (o *Observer) offer(in observation) {
	select {
	case o.manager.observations <- in:
	default:
		o.manager.metrics.dropped.Inc()
	}
}

// observationKind is the kind of an observation.
type observationKind int

const (
	observedLeaving observationKind = iota
	observedFailure
	observedAnswer
)

// observation is an input that carries one observation of an endpoint by traffic.
type observation struct {
	id   string
	kind observationKind
}

func (o observation) apply(ctx context.Context, m *Manager, now time.Time) {
	t, known := m.endpoints[o.id]
	if !known {
		return
	}
	switch o.kind {
	case observedLeaving:
		m.recordLeaving(o.id, now)
		m.updateLeaving(t)
		m.round(ctx, now, urgentPeers)
	case observedFailure:
		m.endpointFailed(ctx, t)
	case observedAnswer:
		m.endpointAnswered(ctx, t)
	}
}
