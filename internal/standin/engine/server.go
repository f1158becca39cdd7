// Package engine is a stand-in for a model engine. It implements the protocol of
// internal/engine with continuous batching: a step generates one token for each
// running sequence and takes longer as the batch grows. The engine starts waiting
// requests in order of priority, streams, cancels a request when its caller
// disconnects, resumes after given text, caches prompt prefixes, reports its load with
// a lag, and executes weight orders. The generated text is a function of model,
// prompt, seed, position and weight version, so that tests can compute the expected
// text.
//
// Orders are answered when they are complete: with 200 and the protocol's WeightState,
// 412 for an old fencing number, 409 if the version is not staged or the deadline has
// passed, or 500 if a swap failed partway.
//
// The control handler offers GET /journal, which returns a list of Record, GET, PUT and
// DELETE /faults with a Fault, PUT and DELETE /leaving, and POST /crash.
package engine

import (
	"net/http"
	"sync"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/journal"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Server is a simulated model engine. Close it after use.
type Server struct {
	options    Options
	journal    *journal.Journal[Record]
	cache      *prefixCache
	wake       chan struct{}
	closed     chan struct{}
	background sync.WaitGroup

	mu            sync.Mutex
	fault         Fault
	faultsChanged chan struct{} // closed when the faults change
	crashed       bool
	leaving       bool
	arrivals      int64
	waiting       []*sequence
	running       []*sequence
	weights       protocol.WeightState
	stageOrders   int64 // number of stage orders started so far
	activations   []*activation
	reports       []protocol.LoadReport
	lastID        string // request identifier of the previous answer, for MixUpNext
}

// New returns an engine and starts its generation loop.
func New(options Options) (*Server, error) {
	options = options.withDefaults()
	cache, err := newPrefixCache(options.CacheBlocks)
	if err != nil {
		return nil, err
	}
	records, err := journal.Open[Record](options.JournalFile)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options:       options,
		journal:       records,
		cache:         cache,
		wake:          make(chan struct{}, 1),
		closed:        make(chan struct{}),
		faultsChanged: make(chan struct{}),
		weights:       protocol.WeightState{Active: options.Version, Staged: options.Version},
	}
	s.reports = []protocol.LoadReport{s.reportLocked()}
	s.background.Go(s.loop)
	s.background.Go(s.sampleLoad)
	return s, nil
}

// Close stops the engine. Running requests fail, and waiting ones are refused.
func (s *Server) Close() {
	close(s.closed)
	s.background.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endAllLocked()
}

// Handler returns the HTTP interface of the engine.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathCompletions, s.complete)
	mux.HandleFunc("GET "+protocol.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+protocol.PathWeights, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Weights())
	})
	mux.HandleFunc("POST "+protocol.PathStage, s.stage)
	mux.HandleFunc("POST "+protocol.PathActivate, s.activate)
	return s.withFaults(mux)
}

// Control returns the HTTP control interface.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Journal())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		jsonhttp.Write(w, http.StatusOK, s.fault)
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if jsonhttp.Read(w, r, &fault) {
			s.SetFault(fault)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("DELETE /faults", actionHandler(func() { s.SetFault(Fault{}) }))
	mux.HandleFunc("PUT /leaving", actionHandler(func() { s.SetLeaving(true) }))
	mux.HandleFunc("DELETE /leaving", actionHandler(func() { s.SetLeaving(false) }))
	mux.HandleFunc("POST /crash", actionHandler(s.Crash))
	return mux
}

// actionHandler returns a handler that calls action and answers 204.
func actionHandler(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		w.WriteHeader(http.StatusNoContent)
	}
}

// Journal returns the records of all events.
func (s *Server) Journal() []Record {
	return s.journal.All()
}

// SetLeaving sets whether the engine is leaving. A leaving engine reports so without
// lag, refuses new requests as not run, and finishes the requests that it has.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Crash crashes the engine, as a request with CrashMarker does.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

func (s *Server) crashLocked() {
	s.journal.Append(Record{At: time.Now(), Event: Crashed})
	if s.options.OnCrash != nil {
		s.options.OnCrash()
	}
	s.crashed = true
	s.endAllLocked()
}

// Restart restarts a crashed engine with its initial weights.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
	s.leaving = false
	s.weights = protocol.WeightState{Active: s.options.Version, Staged: s.options.Version}
}

// endAllLocked ends all requests: running ones fail, and waiting ones are refused as
// not run.
func (s *Server) endAllLocked() {
	for _, q := range s.running {
		q.end(failed)
		s.journal.Append(newRecord(Failed, q))
	}
	for _, q := range s.waiting {
		q.end(refused)
		s.journal.Append(newRecord(Cancelled, q))
	}
	s.running, s.waiting = nil, nil
}

// wakeLoop signals the loop that there is work, without blocking.
func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
