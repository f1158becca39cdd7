package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is what a replica did with one request that it began to run.
type Run struct {
	ID, Method, Path string
	// Ended is true once the replica had finished the work, and Cut if the channel
	// closed before.
	Ended, Cut bool
	At         time.Time
}

// Replica is a stand-in for a replica of a plain service.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	// Work returns how long a request takes.
	Work func(r *http.Request) time.Duration
	// LoseAnswer decides, after a request has run, whether its answer is lost: the channel
	// is reset instead. It may be nil.
	LoseAnswer func(r *http.Request) bool
	Record     *Record

	born    int64
	running atomic.Int64
	server  *httptest.Server
	mu      sync.Mutex
	runs    []*Run
}

// Start starts the replica and registers it.
func (e *Replica) Start(d *Deployment) {
	e.born = time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.ID) })
	mux.HandleFunc("/", e.serve)
	e.server = httptest.NewServer(mux)
	d.Store.Write("servers/"+e.ID, e.entry())
}

// Close stops the replica.
func (e *Replica) Close() { e.server.CloseClientConnections() }

// Runs returns what the replica ran.
func (e *Replica) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, run := range e.runs {
		runs = append(runs, *run)
	}
	return runs
}

func (e *Replica) entry() []byte {
	entry, _ := json.Marshal(map[string]any{ // plain values only
		"service": e.Service, "address": strings.TrimPrefix(e.server.URL, "http://"), "zone": e.Zone, "version": "v1",
		"slots": e.Slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": e.born,
	})
	return entry
}

func (e *Replica) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off ends the request
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := e.running.Add(1)
	defer e.running.Add(-1)
	if int(running) > e.Slots {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{ID: id, Method: r.Method, Path: r.URL.Path, At: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.Record.Line("run %s %s at %s", r.Method, id, e.ID)
	select {
	case <-time.After(e.Work(r)):
	case <-r.Context().Done(): // the replica drops a request whose channel closes
		e.mu.Lock()
		run.Cut = true
		e.mu.Unlock()
		e.Record.Line("cut %s at %s", id, e.ID)
		return
	}
	e.mu.Lock()
	run.Ended = true
	e.mu.Unlock()
	if e.LoseAnswer != nil && e.LoseAnswer(r) {
		e.Record.Line("answer of %s at %s is lost", id, e.ID)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			Reset(conn)
		}
		return
	}
	w.Header().Set("X-Response-Stamp", Stamp(e.ID, id))
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", running, e.Slots))
	_, _ = io.WriteString(w, Answer(id)) // the caller may be gone
}

// Stamp is the MAC of a replica's answer.
func Stamp(replica, id string) string { return "stamp." + replica + "." + id }

// Answer is the whole body of the answer to a request.
func Answer(id string) string { return "answer to " + id }
