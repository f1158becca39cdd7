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

// Sizes of the work in Updates.
const (
	updatesPerSecond = 150.0
	updatesSpan      = 4 * time.Second
	slowCall         = 10 * serviceTime
)

// Updates sends register lookups and updates that must not be repeated, while
// one of the four services is slow and another one crashes and comes back.
func Updates(ctx context.Context, arm Arm, seed uint64) ([]Value, error) {
	w, err := NewWorld(arm, hydrometraDelay, classes)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	wait.For(ctx, 3*pollInterval)
	w.Site.Services[int(seed)%serviceCnt].SetDelay(slowCall)
	victim := w.Site.Services[(int(seed)+1)%serviceCnt]
	crash := time.AfterFunc(updatesSpan/3, victim.Crash)
	defer crash.Stop()
	restart := time.AfterFunc(2*updatesSpan/3, victim.Restart)
	defer restart.Stop()
	var errs atomic.Int64
	replies := w.driveCalls(ctx, seed, &errs)
	return []Value{
		{"updates_doubled", "calls", float64(w.doubled())},
		{"services_p99", "ms", quantile(millis(replies), 0.99)},
		{"services_answered", "share", 1 - float64(errs.Load())/float64(len(replies))},
	}, nil
}

func (w *World) driveCalls(ctx context.Context, seed uint64, errs *atomic.Int64) []Reply {
	random := newRandom(seed)
	all := arrivals(random, updatesPerSecond, updatesSpan, func(int) Ask { return Ask{} })
	replies := make([]Reply, len(all))
	started := time.Now()
	done := make(chan struct{}, len(all))
	for i, a := range all {
		wait.For(ctx, a.after-time.Since(started))
		e, update := w.balance(), random.IntN(3) == 0
		go func() {
			replies[i] = w.call(ctx, e, i, update)
			if replies[i].Err != nil {
				errs.Add(1)
			}
			done <- struct{}{}
		}()
	}
	for range all {
		<-done
	}
	return replies
}

// call sends one call of a service through an entry.
func (w *World) call(ctx context.Context, e *Entry, number int, update bool) Reply {
	started := time.Now()
	request := &dispatch.ServiceRequest{
		Call:        dispatch.Call{Class: w.classes[classLookup], Arrived: started, Idempotent: true},
		Application: application,
		Send:        engine.ServiceCall{Method: http.MethodGet, Path: "/wells/1", Header: http.Header{}},
	}
	if update {
		request.Class = w.classes[classUpdate]
		request.Idempotent = false
		request.Send.Method = http.MethodPut
		request.Send.Body = []byte(fmt.Sprintf("update-%d", number))
	}
	wait.For(ctx, clientDelay)
	leave, err := e.Dispatcher.Admit(ctx, request)
	if err == nil {
		_, _, err = e.Dispatcher.Serve(ctx, request)
		leave()
	}
	wait.For(ctx, clientDelay)
	return Reply{Took: time.Since(started), Err: err}
}

// doubled counts updates that ran more than once.
func (w *World) doubled() int {
	runs := map[string]int{}
	for _, s := range w.Site.Services {
		for _, record := range s.Journal() {
			if strings.HasPrefix(record.Body, "update-") {
				runs[record.Body]++
			}
		}
	}
	doubled := 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}
