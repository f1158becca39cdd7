package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Engine is a stand-in for a replica of a model. It serves streams, refuses requests while
// it loads, and carries out orders of the mode "wait": runs finish first. Orders are
// checked by seq and by fence.
type Engine struct {
	ID, Service, Zone, Model string
	Slots                    int
	// Load is how long it takes to load a version once the runs have ended.
	Load time.Duration
	// Events returns how many events the text of an item has, and Gap is the time between
	// two of them.
	Events func(item string) int
	Gap    time.Duration
	Record *Record
	// Fault decides what happens to a run before it begins: its answer is replaced by the
	// status if that is not zero. It may be nil.
	Fault func(item string) int
	// Beat is how often the entry is written; zero means 1.2 s.
	Beat time.Duration

	born    int64
	server  *httptest.Server
	deploy  *Deployment
	mu      sync.Mutex
	version int64
	seq     int64
	fence   int64
	busy    bool
	running int
	idle    *sync.Cond
	beats   int64
	runs    []EngineRun
	stop    chan struct{}
}

// lastHolder is the holder that gave the last order that an engine accepted.
var lastHolder atomic.Value

// LastHolder returns the holder of the last accepted order, or an empty string.
func LastHolder() string {
	name, _ := lastHolder.Load().(string)
	return name
}

// EngineRun is one run of an item.
type EngineRun struct {
	Item     string
	After    int
	Last     int
	Version  int64
	Complete bool
	Began    time.Time
	Ended    time.Time
}

// Start starts the engine and registers it.
func (e *Engine) Start(d *Deployment, version int64) {
	e.deploy, e.version, e.born, e.stop = d, version, time.Now().UnixMilli(), make(chan struct{})
	e.idle = sync.NewCond(&e.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.ID) })
	mux.HandleFunc("/", e.serve)
	e.server = httptest.NewServer(mux)
	if e.Beat == 0 {
		e.Beat = 1200 * time.Millisecond
	}
	e.register()
	go func() {
		ticker := time.NewTicker(e.Beat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				e.register()
			case <-e.stop:
				return
			}
		}
	}()
}

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stop)
	e.server.CloseClientConnections()
}

func (e *Engine) register() {
	e.mu.Lock()
	e.beats++
	entry, _ := json.Marshal(map[string]any{ // plain values only
		"service": e.Service, "address": strings.TrimPrefix(e.server.URL, "http://"), "zone": e.Zone, "version": "v1",
		"slots": e.Slots, "state": "ready", "cold_left_ms": 0, "seq": e.beats, "born": e.born, "phase": "both",
		"models": []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}},
	})
	e.mu.Unlock()
	e.deploy.Store.Write("servers/"+e.ID, entry)
}

// Runs returns the runs that have ended, and how many run now.
func (e *Engine) Runs() ([]EngineRun, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineRun(nil), e.runs...), e.running
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	if !e.expected(w, r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "both", "models": []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}},
		"busy": e.busy, "seq": e.seq, "num_waiting": 0, "num_running": e.running, "kv_used": 0, "kv_total": 90000, "handles": 0,
	})
}

func (e *Engine) expected(w http.ResponseWriter, r *http.Request) bool {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.ID {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if !e.expected(w, r) {
		return
	}
	var order struct {
		Op, Model, Mode, Holder string
		Version, Fence          int64
		Expected                *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "version" || order.Holder == "" || order.Fence == 0 || order.Model != e.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case order.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case order.Version == e.version && !e.busy:
		status = http.StatusOK
	case e.busy, order.Expected != nil && *order.Expected != e.seq:
		status = http.StatusConflict
	}
	e.fence = max(e.fence, order.Fence)
	e.Record.Line("order of %s to %s: version %d, mode %s, fence %d: %d", order.Holder, e.ID, order.Version, order.Mode, order.Fence, status)
	w.WriteHeader(status)
	if status == http.StatusAccepted {
		e.seq++
		e.busy = true
		lastHolder.Store(order.Holder)
		go e.load(order.Version)
	}
}

// load waits until all runs have ended and then loads a version.
func (e *Engine) load(version int64) {
	e.mu.Lock()
	for e.running > 0 {
		e.idle.Wait()
	}
	e.mu.Unlock()
	time.Sleep(e.Load)
	e.mu.Lock()
	e.version, e.busy = version, false
	e.mu.Unlock()
	e.Record.Line("%s has loaded version %d", e.ID, version)
	e.register()
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if !e.expected(w, r) {
		return
	}
	w.Header().Set("X-Request-Id", id)
	e.mu.Lock()
	if e.busy || e.running >= e.Slots {
		e.mu.Unlock()
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	run := EngineRun{Item: id, Version: e.version, Began: time.Now()}
	e.mu.Unlock()
	run.After, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run.Last = run.After
	e.Record.Line("run %s at %s after event %d, version %d", id, e.ID, run.After, run.Version)
	defer func() {
		run.Ended = time.Now()
		e.Record.Line("run %s at %s ended at event %d, complete %v", id, e.ID, run.Last, run.Complete)
		e.mu.Lock()
		e.runs = append(e.runs, run)
		e.running--
		e.idle.Broadcast()
		e.mu.Unlock()
	}()
	w.Header().Set("X-Response-Stamp", Stamp(e.ID, id))
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(run.Version, 10))
	if e.Fault != nil {
		if status := e.Fault(id); status != 0 {
			w.WriteHeader(status)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for n := run.After + 1; n <= e.Events(id); n++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventText(id, n))
		if flusher.Flush() != nil {
			return
		}
		run.Last = n
	}
	run.Complete = true
}

// EventText is the data of an event of an item's text.
func EventText(item string, n int) string { return fmt.Sprintf("%s/%d", item, n) }

// WholeText is the whole output of an item.
func WholeText(item string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = EventText(item, i+1)
	}
	return strings.Join(lines, "\n")
}
