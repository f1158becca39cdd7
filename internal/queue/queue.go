// Package queue admits work and orders it: it starts what has the least slack
// first, keeps room for work that people wait on, and refuses early, in an
// order of precedence, what cannot be in time.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// Queue holds the waiting work of all models and applications of one entry.
// It is safe for concurrent use; the zero value works.
type Queue struct {
	// Clock tells the time; nil is time.Now.
	Clock func() time.Time
	// EntryCount is told the number of entries; nil is nobody to tell.
	EntryCount *policy.EntryCount
	// Lane is fitted to the interactive work; nil is none.
	Lane *policy.Lane

	mu      sync.Mutex
	groups  map[groupKey]*group
	classes []class.Class // in order of precedence
}

// Refresh takes over the classes, the endpoints by model, and the number of
// live entries that share them. It is to be called with each new snapshot.
func (q *Queue) Refresh(classes *class.Document, endpoints map[string][]*endpoint.Endpoint, entries int) {
	if q.EntryCount != nil {
		q.EntryCount.Set(entries)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.classes = policy.Precedence(classes.Classes)
	now := q.now()
	for model, members := range endpoints {
		if q.Lane != nil {
			demand := q.group(groupKey{model: model, pool: interactivePool}).demand.places(now)
			q.Lane.Resize(model, members, demand*float64(entries))
		}
		room := roomOf(members, entries, q.Lane)
		for _, p := range pools {
			g := q.group(groupKey{model: model, pool: p})
			g.setClasses(q.classes)
			g.limit = room.of(p)
			g.dispatch(now)
		}
	}
}

// Enter implements policy.Admission. It returns ErrRefused when the work
// cannot be in time, and ErrCanceled when ctx ends first; in both cases the
// work has not started.
func (q *Queue) Enter(ctx context.Context, work *policy.Work) (func(), error) {
	if ctx.Err() != nil {
		return nil, canceled(ctx)
	}
	i, err := q.join(work)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-i.verdict:
	case <-ctx.Done():
		err = q.abandon(ctx, i)
	}
	if err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { q.leave(i) }), nil
}

func (q *Queue) join(work *policy.Work) (*item, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	g := q.group(groupKey{model: work.Model, pool: poolOf(work)})
	i := g.newItem(work, now)
	if err := g.admit(i, now); err != nil {
		return nil, err
	}
	g.dispatch(now)
	return i, nil
}

// abandon takes an item out whose caller has gone. If it was started in the
// meantime, it ends at once.
func (q *Queue) abandon(ctx context.Context, i *item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i.started {
		i.group.end(i, 0)
		i.group.dispatch(q.now())
	}
	i.line.remove(i)
	return canceled(ctx)
}

func (q *Queue) leave(i *item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	i.group.end(i, now.Sub(i.startedAt))
	i.group.dispatch(now)
}

// Depth is the state of one model's queue.
type Depth struct {
	Waiting, Running, Limit int
}

// Depth returns the state of the model's queue, of the work that people wait on
// or of the rest.
func (q *Queue) Depth(model string, interactive bool) Depth {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.group(groupKey{model: model, pool: poolOf(&policy.Work{Interactive: interactive})})
	return Depth{Waiting: g.waiting(), Running: g.running, Limit: g.limit}
}

func (q *Queue) group(key groupKey) *group {
	if found := q.groups[key]; found != nil {
		return found
	}
	if q.groups == nil {
		q.groups = make(map[groupKey]*group)
	}
	g := &group{limit: roomOf(nil, 1, nil).of(key.pool), demand: use{memory: demandMemory}}
	g.setClasses(q.classes)
	q.groups[key] = g
	return g
}

func (q *Queue) now() time.Time {
	if q.Clock != nil {
		return q.Clock()
	}
	return time.Now()
}
