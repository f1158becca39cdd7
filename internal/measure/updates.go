package measure

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/wait"
)

// Parameters of the Updates workload.
const (
	updatesPerSecond = 150.0
	updatesSpan      = 4 * time.Second
	slowCall         = 10 * serviceTime
)

// Updates sends lookups and updates that must not be repeated to the register service,
// while one of its four replicas is slow and another one crashes and restarts.
func Updates(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	t, err := NewTestbed(arm, longDomainDelay, classes)
	if err != nil {
		return nil, err
	}
	defer t.Close()
	wait.For(ctx, 3*pollInterval)
	t.Site.Services[int(seed)%serviceCount].SetDelay(slowCall)
	crashing := t.Site.Services[(int(seed)+1)%serviceCount]
	crash := time.AfterFunc(updatesSpan/3, crashing.Crash)
	defer crash.Stop()
	restart := time.AfterFunc(2*updatesSpan/3, crashing.Restart)
	defer restart.Stop()
	var errs atomic.Int64
	replies := t.driveCalls(ctx, seed, &errs)
	return []Value{
		{"updates_doubled", "calls", float64(t.countDuplicates())},
		{"services_p99", "ms", quantile(millis(replies), 0.99)},
		{"services_answered", "share", 1 - float64(errs.Load())/float64(len(replies))},
	}, nil
}

// driveCalls sends lookups and updates at the arrival times of a Poisson process, and
// counts the failed ones in errs.
func (t *Testbed) driveCalls(ctx context.Context, seed uint64, errs *atomic.Int64) []Reply {
	random := newRandom(seed)
	requests := arrivals(random, updatesPerSecond, updatesSpan, func(int) Request { return Request{} })
	replies := make([]Reply, len(requests))
	started := time.Now()
	done := make(chan struct{}, len(requests))
	for i, a := range requests {
		wait.For(ctx, a.after-time.Since(started))
		e, update := t.pickEntry(), random.IntN(3) == 0
		go func() {
			replies[i] = t.call(ctx, e, i, update)
			if replies[i].Err != nil {
				errs.Add(1)
			}
			done <- struct{}{}
		}()
	}
	for range requests {
		<-done
	}
	return replies
}

// call sends one service call through an entry and waits for the response.
func (t *Testbed) call(ctx context.Context, e *Entry, number int, update bool) Reply {
	started := time.Now()
	request := &dispatch.ServiceRequest{
		Call:        dispatch.Call{Class: t.classes[classLookup], Arrived: started, Idempotent: true},
		Application: application,
		Send:        engine.ServiceCall{Method: http.MethodGet, Path: "/wells/1", Header: http.Header{}},
	}
	if update {
		request.Class = t.classes[classUpdate]
		request.Idempotent = false
		request.Send.Method = http.MethodPut
		request.Send.Body = []byte(fmt.Sprintf("update-%d", number))
	}
	wait.For(ctx, clientDelay)
	release, err := e.Dispatcher.Admit(ctx, request)
	if err == nil {
		_, _, err = e.Dispatcher.Serve(ctx, request)
		release()
	}
	wait.For(ctx, clientDelay)
	return Reply{Elapsed: time.Since(started), Err: err}
}

// countDuplicates returns the number of updates that ran more than once.
func (t *Testbed) countDuplicates() int {
	runs := map[string]int{}
	for _, s := range t.Site.Services {
		for _, record := range s.Journal() {
			if strings.HasPrefix(record.Body, "update-") {
				runs[record.Body]++
			}
		}
	}
	duplicates := 0
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}
