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

// tracked is what the control goroutine knows of one endpoint.
type tracked struct {
	instance keyvalue.Instance
	live     *endpoint.Live
	followed bool
	// listed: the last list held it.
	listed bool
	// failures counts load readings and connections that failed in a row.
	failures int
	// held: a rollout keeps it from serving.
	held bool
	// returnedAt is when its own report, asked for then, said that it does not
	// leave.
	returnedAt time.Time
	// leaveLogged: the event was written.
	leaveLogged bool
	// history and ownInFlight relate a late report to this entry's own work.
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

// readList reads the list of instances until the context ends.
func (m *Manager) readList(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		instances, err := m.options.List.Instances(call)
		cancel()
		m.send(ctx, listed{instances: instances, err: err})
		if !wait.For(ctx, jittered(m.options.ListInterval)) {
			return nil
		}
	}
}

// jittered is d by up to a fifth shorter or longer.
func jittered(d time.Duration) time.Duration {
	const part = 5
	return d - d/part + rand.N(2*d/part+1)
}

// listed is one reading of the list of instances.
type listed struct {
	instances []keyvalue.Instance
	err       error
}

func (l listed) apply(ctx context.Context, m *Manager, now time.Time) {
	m.noteList(ctx, l.err)
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
		m.takeInstance(now, instance)
	}
	m.reviewAllLeaving()
	m.forgetGone(ctx)
}

func (m *Manager) noteList(ctx context.Context, err error) {
	if down := err != nil; down != m.listDown {
		m.listDown = down
		if down {
			event.ListUnreachable.Log(ctx, m.logger, slog.Any("error", err))
			return
		}
		event.ListBack.Log(ctx, m.logger)
	}
}

func (m *Manager) takeInstance(now time.Time, instance keyvalue.Instance) {
	if instance.Kind == keyvalue.KindEntry {
		if instance.ID != m.options.ID && !instance.Leaving {
			m.entries[instance.ID] = instance
		}
		return
	}
	if instance.Leaving {
		m.hearLeaving(instance.ID, now)
	}
	known, exists := m.endpoints[instance.ID]
	if !exists || known.instance.Address != instance.Address {
		m.endpoints[instance.ID] = &tracked{instance: instance, live: &endpoint.Live{}, listed: true}
		m.touch(true)
		return
	}
	known.listed = true
	if known.instance != instance {
		known.instance = instance
		m.touch(true)
	}
}

// touch marks endpoints as changed, and what is followed if follow is set.
func (m *Manager) touch(follow bool) {
	m.dirty.any, m.dirty.endpoints = true, true
	m.dirty.follow = m.dirty.follow || follow
}

// forgetGone drops endpoints that are off the list and do not answer or said
// that they leave. One that the list misses but that answers stays.
func (m *Manager) forgetGone(ctx context.Context) {
	for id, t := range m.endpoints {
		if t.listed || t.followed && t.failures < failuresToUnready && !m.leaves(t) {
			continue
		}
		event.EndpointForgotten.Log(ctx, m.logger, slog.String("endpoint", id))
		delete(m.endpoints, id)
		m.touch(true)
	}
}

// hearLeaving takes first-hand word that an endpoint leaves. If it had come back
// since the last word, it leaves again.
func (m *Manager) hearLeaving(id string, now time.Time) {
	t, known := m.endpoints[id]
	since, said := m.state.LeavingSince(id)
	if known && said && t.deniedSince(since) {
		m.state.EndpointLeavesAgain(id, now)
		return
	}
	m.state.EndpointLeaves(id, now)
}

// deniedSince reports whether the endpoint's own report denied word of its
// leaving, with time for reports to lag.
func (t *tracked) deniedSince(word time.Time) bool {
	return !t.returnedAt.Before(word.Add(leaveHold))
}

// leaves reports whether an endpoint leaves: somebody said so, and its own
// report has not denied it since, with time for reports to lag.
func (m *Manager) leaves(t *tracked) bool {
	if t.instance.Leaving {
		return true
	}
	since, said := m.state.LeavingSince(t.instance.ID)
	return said && !t.deniedSince(since)
}

// reviewAllLeaving reviews every endpoint; that costs in proportion to the list
// and is done once for each reading of it.
func (m *Manager) reviewAllLeaving() {
	for _, t := range m.endpoints {
		m.reviewLeaving(t)
	}
}

// reviewLeaving publishes at once when the standing of an endpoint changed.
func (m *Manager) reviewLeaving(t *tracked) {
	leaves := m.leaves(t)
	if leaves == t.leaveLogged {
		return
	}
	t.leaveLogged = leaves
	m.touch(false)
	m.dirty.urgent = true
	if leaves {
		event.EndpointLeaving.Log(context.Background(), m.logger, slog.String("endpoint", t.instance.ID))
	}
}
