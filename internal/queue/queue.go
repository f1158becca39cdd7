// Package queue admits and orders work. It starts the work with the least slack first and
// reserves capacity for interactive work. Work that cannot meet its deadline is refused as
// early as possible, in an order of precedence.
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
// It is safe for concurrent use; the zero value is ready to use.
type Queue struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// EntryCount receives the number of entries on each Refresh; nil means no receiver.
	EntryCount *policy.EntryCount
	// Lane is resized to the demand of interactive work; nil means no lane.
	Lane *policy.Lane

	mu          sync.Mutex
	modelQueues map[modelQueueKey]*modelQueue
	classes     []class.Class // in order of precedence
}

// Refresh updates the classes, the endpoints by model, and the number of live entries
// that share them. The caller must call it with each new snapshot.
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
			demand := q.modelQueue(modelQueueKey{model: model, pool: interactivePool}).demand.slots(now)
			q.Lane.Resize(model, members, demand*float64(entries))
		}
		limits := limitsOf(members, entries, q.Lane)
		for _, p := range pools {
			m := q.modelQueue(modelQueueKey{model: model, pool: p})
			m.setClasses(q.classes)
			m.limit = limits.of(p)
			m.dispatch(now)
		}
	}
}

// Enter implements policy.Admission. It returns ErrRefused if the work cannot meet its
// deadline, and ErrCanceled if ctx ends first. In both cases the work has not started.
func (q *Queue) Enter(ctx context.Context, work *policy.Work) (func(), error) {
	if ctx.Err() != nil {
		return nil, canceled(ctx)
	}
	i, err := q.join(work)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-i.decision:
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
	m := q.modelQueue(modelQueueKey{model: work.Model, pool: poolOf(work)})
	i := m.newItem(work, now)
	if err := m.admit(i, now); err != nil {
		return nil, err
	}
	m.dispatch(now)
	return i, nil
}

// abandon removes an item whose caller has canceled the request. If the item was started
// in the meantime, abandon ends it immediately.
func (q *Queue) abandon(ctx context.Context, i *item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i.started {
		i.modelQueue.finish(i, 0)
		i.modelQueue.dispatch(q.now())
	}
	i.classQueue.remove(i)
	return canceled(ctx)
}

func (q *Queue) leave(i *item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	i.modelQueue.finish(i, now.Sub(i.startedAt))
	i.modelQueue.dispatch(now)
}

// Depth is the number of waiting and running requests in one pool of a model, and the limit
// on the running ones.
type Depth struct {
	Waiting, Running, Limit int
}

// Depth returns the state of the model's queue for interactive or for batch work.
func (q *Queue) Depth(model string, interactive bool) Depth {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.modelQueue(modelQueueKey{model: model, pool: poolOf(&policy.Work{Interactive: interactive})})
	return Depth{Waiting: m.waiting(), Running: m.running, Limit: m.limit}
}

func (q *Queue) modelQueue(key modelQueueKey) *modelQueue {
	if found := q.modelQueues[key]; found != nil {
		return found
	}
	if q.modelQueues == nil {
		q.modelQueues = make(map[modelQueueKey]*modelQueue)
	}
	m := &modelQueue{limit: limitsOf(nil, 1, nil).of(key.pool), demand: occupancy{window: demandWindow}}
	m.setClasses(q.classes)
	q.modelQueues[key] = m
	return m
}

func (q *Queue) now() time.Time {
	if q.Clock != nil {
		return q.Clock()
	}
	return time.Now()
}
