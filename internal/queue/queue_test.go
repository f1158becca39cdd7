package queue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/policy"
)

var classes = &class.Document{Classes: []class.Class{
	{Name: "hint", Lateness: time.Second, Completeness: 0.5},
	{Name: "training", Lateness: time.Minute, Completeness: 0.9},
	{Name: "lookup", Lateness: time.Second, Completeness: 0.99},
}}

func engines(n, slots int) map[string][]*endpoint.Endpoint {
	endpoints := make([]*endpoint.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = &endpoint.Endpoint{ID: fmt.Sprint(i), Slots: slots, Live: &endpoint.Live{}}
	}
	return map[string][]*endpoint.Endpoint{"drafting": endpoints}
}

func newQueue(n, slots int) *Queue {
	q := &Queue{}
	q.Refresh(classes, engines(n, slots), 1)
	return q
}

func work(class string, tokens int, due time.Duration) *policy.Work {
	return &policy.Work{Class: class, Model: "drafting", ExpectedTokens: tokens, Deadline: time.Now().Add(due), Interactive: class != "training"}
}

// runner enters work on goroutines and records the order in which it starts.
type runner struct {
	mu     sync.Mutex
	q      *Queue
	starts []string
	errs   map[string]error
	leaves map[string]func()
}

func newRunner(q *Queue) *runner {
	return &runner{q: q, errs: map[string]error{}, leaves: map[string]func(){}}
}

// enter enters work on a new goroutine and waits until all other goroutines are blocked. It
// must be called, and the fields must be read, only while they are blocked.
func (r *runner) enter(name string, w *policy.Work) {
	go func() {
		leave, err := r.q.Enter(context.Background(), w)
		r.record(name, leave, err)
	}()
	synctest.Wait()
}

func (r *runner) record(name string, leave func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.errs[name] = err
		return
	}
	r.starts = append(r.starts, name)
	r.leaves[name] = leave
}

func (r *runner) leave(name string) {
	r.leaves[name]()
	synctest.Wait()
}

// leaveAll ends all running work. It returns false if none was running.
func (r *runner) leaveAll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaves := r.leaves
	r.leaves = map[string]func(){}
	for _, leave := range leaves {
		leave()
	}
	return len(leaves) > 0
}

func interactiveQueue(q *Queue) *modelQueue {
	return q.modelQueue(modelQueueKey{model: "drafting", pool: interactivePool})
}

func TestLeastSlackStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(1, 1))
		r.enter("running", work("training", 1, time.Second))
		r.enter("later", work("training", 10, time.Minute))
		r.enter("soon", work("training", 10, 10*time.Second))
		r.enter("long", work("training", 9000, 12*time.Second))
		for _, name := range []string{"running", "long", "soon", "later"} {
			r.leave(name)
		}
		require.Equal(t, []string{"running", "long", "soon", "later"}, r.starts)
		require.Zero(t, r.q.Depth("drafting", false).Running)
	})
}

func TestBatchWorkDoesNotUseTheReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(2, 8))
		for i := range 20 {
			r.enter(fmt.Sprint("batch-", i), work("training", 100, time.Minute))
		}
		require.Len(t, r.starts, 14, "one slot in eight is reserved")
		r.enter("lookup", work("lookup", 1, time.Second))
		require.Contains(t, r.starts, "lookup")
		for r.leaveAll() {
			synctest.Wait()
		}
		require.Len(t, r.starts, 21)
	})
}

func TestWorkThatWouldMissItsDeadlineIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(1, 1))
		r.enter("running", work("lookup", 800, time.Second))
		r.enter("waiting", work("lookup", 400, time.Second))
		r.enter("too late", work("lookup", 400, time.Second))
		require.True(t, errorx.IsOfType(r.errs["too late"], ErrRefused))
		after, ok := RetryAfter(r.errs["too late"])
		require.True(t, ok)
		require.GreaterOrEqual(t, after, minRetryAfter)
		r.leave("running")
		r.leave("waiting")
		require.Equal(t, []string{"running", "waiting"}, r.starts)
	})
}

// A pace observed while endpoints were slow must not block all work, because then no work
// would run that could correct the estimate.
func TestIdleQueueAdmitsWorkDespiteSlowPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, 1)
		for range 100 {
			interactiveQueue(q).pace.observe(10, time.Minute)
		}
		leave, err := q.Enter(context.Background(), work("lookup", 10, time.Second))
		require.NoError(t, err)
		leave()
		_, err = q.Enter(context.Background(), work("lookup", 10, -time.Second))
		require.True(t, errorx.IsOfType(err, ErrRefused), "its deadline has passed")
	})
}

func TestAllowLateWorkIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(1, 1))
		r.enter("running", work("training", 400, time.Minute))
		allowLate := work("training", 400, time.Millisecond)
		allowLate.AllowLate = true
		r.enter("allow late", allowLate)
		<-time.After(time.Minute)
		r.leave("running")
		r.leave("allow late")
		require.Empty(t, r.errs)
	})
}

func TestLowerPrecedenceIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(1, 1))
		interactiveQueue(r.q).find("hint").accepted = 0
		r.enter("running", work("lookup", 800, time.Second))
		r.enter("hint", work("hint", 400, 900*time.Millisecond))
		interactiveQueue(r.q).find("lookup").accepted = 0.9
		r.enter("lookup", work("lookup", 400, time.Second))
		require.True(t, errorx.IsOfType(r.errs["hint"], ErrRefused))
		r.enter("another hint", work("hint", 400, time.Second))
		require.True(t, errorx.IsOfType(r.errs["another hint"], ErrRefused))
		r.leave("running")
		r.leave("lookup")
		require.Equal(t, []string{"running", "lookup"}, r.starts)
	})
}

func TestClassAboveTargetYieldsToClassBelowTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(1, 1))
		r.enter("running", work("lookup", 800, time.Second))
		r.enter("lookup", work("lookup", 400, 900*time.Millisecond))
		interactiveQueue(r.q).find("hint").accepted = 0.2
		r.enter("hint", work("hint", 400, time.Second))
		require.True(t, errorx.IsOfType(r.errs["lookup"], ErrRefused))
		r.leave("running")
		r.leave("hint")
	})
}

func TestCanceledCallerLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, 1)
		leave, err := q.Enter(context.Background(), work("lookup", 1, time.Second))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err = q.Enter(ctx, work("lookup", 1, time.Second))
		require.True(t, errorx.IsOfType(err, ErrCanceled))
		leave()
		leave()
		require.Equal(t, Depth{Limit: 1}, q.Depth("drafting", true))
	})
}

func TestRemovedClassKeepsItsWaitingWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(newQueue(1, 1))
		r.enter("running", work("lookup", 1, time.Second))
		r.enter("waiting", work("hint", 1, time.Second))
		r.q.Refresh(&class.Document{}, engines(1, 1), 1)
		require.Equal(t, 1, r.q.Depth("drafting", true).Waiting)
		r.leave("running")
		r.leave("waiting")
		require.Equal(t, []string{"running", "waiting"}, r.starts)
	})
}

func TestLimitsOfOneEntryAmongSeveral(t *testing.T) {
	endpoints := engines(4, 8)["drafting"]
	require.Equal(t, limits{interactive: 30, batch: 28}, limitsOf(endpoints, 2, nil), "the other entry's share is idle")
	for _, e := range endpoints {
		e.Running, e.OwnInFlight = 8, 2
	}
	require.Equal(t, limits{interactive: 20, batch: 14}, limitsOf(endpoints, 2, nil), "the entry keeps its equal share")
	endpoints[0].Leaving, endpoints[1].Unready = true, true
	require.Equal(t, limits{interactive: 10, batch: 7}, limitsOf(endpoints, 2, nil))
	require.Equal(t, limits{interactive: 1, batch: 1}, limitsOf(nil, 6, nil))
}
