package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the rule DRAIN and times of the case.
const (
	drainTime = 2 * time.Second
	// serveOn is how long the replica serves after its record was removed.
	serveOn = 2500 * time.Millisecond
	// updateWork is how long an update takes.
	updateWork = 150 * time.Millisecond
	// updateInterval is the time between two updates of all clients together.
	updateInterval = 15 * time.Millisecond
	beforeRemoval  = 2 * time.Second
	afterRemoval   = 5 * time.Second
	// cutInterval is the time between two cuts of the waiting watches.
	cutInterval = 300 * time.Millisecond
	cutLead     = 1000 * time.Millisecond
	cuts        = 10
)

// goneRecord is what a replica whose record was removed saw.
type goneRecord struct {
	mu      sync.Mutex
	removed time.Time
	late    int
	lastLag time.Duration
}

// arrived records a request that reached the replica.
func (g *goneRecord) arrived(w *world, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.removed.IsZero() {
		return
	}
	lag := time.Since(g.removed)
	if lag > drainTime {
		g.late++
		g.lastLag = max(g.lastLag, lag)
		w.note("request %s reaches the replica %.0f ms after its record was removed", id, lag.Seconds()*1000)
	}
}

func init() { cases["leaving"] = caseGoneReplica }

// caseGoneReplica: a replica leaves without having reported draining, while the store cuts
// waiting watches.
func caseGoneReplica(w *world, trouble bool) (outcome, error) {
	gone := &goneRecord{}
	serve := func(r *replica, writer http.ResponseWriter, request *http.Request) {
		readBody(request)
		if r.id == "s-0" {
			gone.arrived(w, request.Header.Get("X-Request-Id"))
		}
		time.Sleep(updateWork)
		r.head(writer, request)
		fmt.Fprint(writer, "done")
	}
	if err := w.store.configure(1, []object{updateRoute()}, services()); err != nil {
		return outcome{}, err
	}
	var replicas []*replica
	for i := range 4 {
		r, err := w.startReplica(plainService, fmt.Sprintf("s-%d", i), fmt.Sprintf("zone-%d", i%2), serve)
		if err != nil {
			return outcome{}, err
		}
		replicas = append(replicas, r)
	}
	if err := w.startNodes("front-1", "front-2", "front-3"); err != nil {
		return outcome{}, err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	counts := &statusCounts{byStatus: map[int]int{}}
	clients.Go(func() { sendUpdates(w, stop, counts) })
	time.Sleep(beforeRemoval)
	if trouble {
		clients.Go(func() {
			for range cuts {
				w.note("the store cuts %d waiting watches", w.store.cutWatches("servers/"))
				time.Sleep(cutInterval)
			}
		})
		time.Sleep(cutLead)
	}
	gone.mu.Lock()
	gone.removed = time.Now()
	replicas[0].unregister()
	gone.mu.Unlock()
	w.note("the record of s-0 is removed; it serves on for %s", serveOn)
	time.Sleep(serveOn)
	replicas[0].stop()
	w.note("s-0 exits")
	time.Sleep(afterRemoval - serveOn)
	close(stop)
	clients.Wait()
	w.note("updates by status (0: no complete answer): %v", counts.byStatus)
	if counts.byStatus[http.StatusOK] == 0 {
		return outcome{}, fmt.Errorf("no update was served")
	}
	text := fmt.Sprintf("%d requests reached the replica later than %s after the store had confirmed that it is gone, the last after %d ms; updates by status: %v",
		gone.late, drainTime, gone.lastLag.Milliseconds(), counts.byStatus)
	return outcome{broken: gone.late > 0, text: text}, nil
}

// statusCounts counts answers by status.
type statusCounts struct {
	mu       sync.Mutex
	byStatus map[int]int
}

// sendUpdates sends updates to all nodes in turn until stop is closed.
func sendUpdates(w *world, stop <-chan struct{}, counts *statusCounts) {
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		open.Go(func() {
			id := fmt.Sprintf("u%05d", n)
			got := send(w.nodes[n%len(w.nodes)], http.MethodPost, "/update/a", id, 2*time.Second, nil, []byte(id))
			if got.status != http.StatusOK {
				w.note("update %s: status %d, error %v", id, got.status, got.err)
			}
			counts.mu.Lock()
			defer counts.mu.Unlock()
			counts.byStatus[got.status]++
		})
	}
}
