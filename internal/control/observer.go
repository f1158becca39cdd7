package control

import (
	"context"
	"time"
)

// Observer takes what traffic goroutines see of endpoints. It never blocks:
// when the control goroutine is behind, observations are dropped and counted.
type Observer struct {
	manager *Manager
}

// Observer returns the door for traffic goroutines.
func (m *Manager) Observer() *Observer {
	return m.observer
}

// EndpointLeaving: the endpoint itself said that it leaves.
func (o *Observer) EndpointLeaving(id string) {
	o.offer(sighting{id: id, kind: sawLeaving})
}

// EndpointFailed: a connection to the endpoint was refused or broke.
func (o *Observer) EndpointFailed(id string) {
	o.offer(sighting{id: id, kind: sawFailure})
}

// EndpointAnswered: the endpoint answered.
func (o *Observer) EndpointAnswered(id string) {
	o.offer(sighting{id: id, kind: sawAnswer})
}

func (o *Observer) offer(s sighting) {
	select {
	case o.manager.observations <- s:
	default:
		o.manager.metrics.dropped.Inc()
	}
}

// sightingKind is what traffic saw of an endpoint.
type sightingKind int

const (
	sawLeaving sightingKind = iota
	sawFailure
	sawAnswer
)

// sighting is one observation of traffic.
type sighting struct {
	id   string
	kind sightingKind
}

func (s sighting) apply(ctx context.Context, m *Manager, now time.Time) {
	t, known := m.endpoints[s.id]
	if !known {
		return
	}
	switch s.kind {
	case sawLeaving:
		m.hearLeaving(s.id, now)
		m.reviewLeaving(t)
		m.round(ctx, now, adoptPeers)
	case sawFailure:
		m.endpointFailed(ctx, t)
	case sawAnswer:
		m.endpointAnswered(ctx, t)
	}
}
