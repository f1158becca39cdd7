package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/policy"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// tracked holds the control goroutine's state of one endpoint.
type tracked struct {
	instance keyvalue.Instance
	live     *endpoint.Live
	followed bool
	// listed reports whether the last list of instances contained the endpoint.
	listed bool
	// failures counts consecutive failed reads of the load report and connections.
	failures int
	// rolloutUnready reports whether a rollout keeps the endpoint from serving.
	rolloutUnready bool
	// notLeavingAt is the start of the last read of a load report in which the endpoint
	// reported that it is not leaving.
	notLeavingAt time.Time
	// leavingLogged is the result of leaving at the last call of updateLeaving, which
	// logs the change.
	leavingLogged bool
	// history records this entry's requests in flight over time. ownInFlight is their
	// number at the time of the endpoint's last load report, which arrives late.
	history     *policy.History
	ownInFlight int
	running     int
	waiting     int
	slots       int
	version     int64
	reportedAt  time.Time
	demotion    float64
	demotionAt  time.Time
}

// readList reads the list of instances periodically until the context ends.
func (m *Manager) readList(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		instances, err := m.options.List.Instances(call)
		cancel()
		m.send(ctx, listResult{instances: instances, err: err})
		if !wait.For(ctx, jittered(m.options.ListInterval)) {
			return nil
		}
	}
}

// jittered returns d, randomly shortened or lengthened by up to a fifth.
func jittered(d time.Duration) time.Duration {
	const divisor = 5
	return d - d/divisor + rand.N(2*d/divisor+1)
}

// listResult is an input that carries one reading of the list of instances.
type listResult struct {
	instances []keyvalue.Instance
	err       error
}

func (l listResult) apply(ctx context.Context, m *Manager, now time.Time) {
	m.updateListState(ctx, l.err)
	if l.err != nil {
		return
	}
	for _, t := range m.endpoints {
		t.listed = false
	}
	m.listRead = true
	m.dirty.any = m.dirty.any || !m.settled
	clear(m.entries)
	for _, instance := range l.instances {
		m.applyInstance(now, instance)
	}
	m.updateAllLeaving()
	m.removeUnlisted(ctx)
}

func (m *Manager) updateListState(ctx context.Context, err error) {
	if down := err != nil; down != m.listUnreachable {
		m.listUnreachable = down
		if down {
			event.ListUnreachable.Log(ctx, m.logger, slog.Any("error", err))
			return
		}
		event.ListReachable.Log(ctx, m.logger)
	}
}

func (m *Manager) applyInstance(now time.Time, instance keyvalue.Instance) {
	if instance.Kind == keyvalue.KindEntry {
		if instance.ID != m.options.ID && !instance.Leaving {
			m.entries[instance.ID] = instance
		}
		return
	}
	if instance.Leaving {
		m.recordLeaving(instance.ID, now)
	}
	current, exists := m.endpoints[instance.ID]
	if !exists || current.instance.Address != instance.Address {
		m.endpoints[instance.ID] = &tracked{instance: instance, live: &endpoint.Live{}, listed: true}
		m.markEndpoints(true)
		return
	}
	current.listed = true
	if current.instance != instance {
		current.instance = instance
		m.markEndpoints(true)
	}
}

// markEndpoints marks the endpoints for the next snapshot, and the choice of
// followed endpoints for recomputation if follow is set.
func (m *Manager) markEndpoints(follow bool) {
	m.dirty.any, m.dirty.endpoints = true, true
	m.dirty.follow = m.dirty.follow || follow
}

// removeUnlisted removes endpoints that are no longer listed and are unfollowed,
// unresponsive or leaving. A followed endpoint that is not listed but answers is
// kept.
func (m *Manager) removeUnlisted(ctx context.Context) {
	for id, t := range m.endpoints {
		if t.listed || t.followed && t.failures < failuresToUnready && !m.leaving(t) {
			continue
		}
		event.EndpointRemoved.Log(ctx, m.logger, slog.String("endpoint", id))
		delete(m.endpoints, id)
		m.markEndpoints(true)
	}
}

// recordLeaving records a first-hand report that an endpoint is leaving. If the
// endpoint had returned since the previous report, it starts a new term of leaving.
func (m *Manager) recordLeaving(id string, now time.Time) {
	t, known := m.endpoints[id]
	since, reported := m.state.LeavingSince(id)
	if known && reported && t.returnedSince(since) {
		m.state.EndpointLeavesAgain(id, now)
		return
	}
	m.state.EndpointLeaves(id, now)
}

// returnedSince reports whether a load report of the endpoint contradicts the report
// at leftAt that it was leaving. Load reports may lag by up to leavingReportLag.
func (t *tracked) returnedSince(leftAt time.Time) bool {
	return !t.notLeavingAt.Before(leftAt.Add(leavingReportLag))
}

// leaving reports whether an endpoint is leaving: the list, a peer or an observation
// of this entry says so, and no load report of the endpoint has contradicted it since
// (see returnedSince). The list takes precedence over load reports.
func (m *Manager) leaving(t *tracked) bool {
	if t.instance.Leaving {
		return true
	}
	since, reported := m.state.LeavingSince(t.instance.ID)
	return reported && !t.returnedSince(since)
}

// updateAllLeaving calls updateLeaving for every endpoint. The cost is proportional
// to the length of the list, so it runs only once per reading of the list.
func (m *Manager) updateAllLeaving() {
	for _, t := range m.endpoints {
		m.updateLeaving(t)
	}
}

// updateLeaving requests an immediate snapshot if an endpoint started or stopped
// leaving.
func (m *Manager) updateLeaving(t *tracked) {
	leaving := m.leaving(t)
	if leaving == t.leavingLogged {
		return
	}
	t.leavingLogged = leaving
	m.markEndpoints(false)
	m.dirty.urgent = true
	if leaving {
		event.EndpointLeaving.Log(context.Background(), m.logger, slog.String("endpoint", t.instance.ID))
	}
}
