// Package engine is a stand-in for a model engine. It speaks the protocol of
// internal/engine: it batches continuously, so that a step makes one token of
// each running sequence and takes longer as the batch grows; it starts waiting
// requests in order of priority, streams, cancels when the caller hangs up,
// goes on after given text, caches prompt prefixes, reports load late, and takes
// weight orders. Its text is a function of model, prompt, seed, position and
// weight version, so that a test can work it out again.
//
// Orders are answered when they are done: 200 with the protocol's WeightState,
// 412 for an old fencing number, 409 when the version is not staged or the
// deadline has passed, 500 when a swap failed partway.
//
// The control handler offers GET /journal (Records), GET, PUT and DELETE
// /faults (Fault), PUT and DELETE /leaving, and POST /crash.
package engine

import (
	"net/http"
	"sync"
	"time"

	protocol "github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/journal"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Server is the stand-in. Close it after use.
type Server struct {
	options Options
	journal *journal.Journal[Record]
	cache   *prefixCache
	wake    chan struct{}
	closed  chan struct{}
	ended   sync.WaitGroup

	mu          sync.Mutex
	fault       Fault
	thawed      chan struct{} // closed when the faults change
	dead        bool
	leaving     bool
	arrivals    int64
	waiting     []*sequence
	running     []*sequence
	weights     protocol.WeightState
	stagings    int64 // number of stage orders that begun
	activations []*activation
	reports     []protocol.LoadReport
	lastID      string // the request answered last, for mix-ups
}

// New returns a running engine.
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
		options: options,
		journal: records,
		cache:   cache,
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		thawed:  make(chan struct{}),
		weights: protocol.WeightState{Active: options.Version, Staged: options.Version},
	}
	s.reports = []protocol.LoadReport{s.reportLocked()}
	s.ended.Go(s.loop)
	s.ended.Go(s.sampleLoad)
	return s, nil
}

// Close stops the engine; requests in it fail.
func (s *Server) Close() {
	close(s.closed)
	s.ended.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endAllLocked()
}

// Handler returns the engine's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathCompletions, s.complete)
	mux.HandleFunc("GET "+protocol.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+protocol.PathWeights, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Weights())
	})
	mux.HandleFunc("POST "+protocol.PathStage, s.stage)
	mux.HandleFunc("POST "+protocol.PathActivate, s.activate)
	return s.gate(mux)
}

// Control returns the control interface.
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
	mux.HandleFunc("DELETE /faults", act(func() { s.SetFault(Fault{}) }))
	mux.HandleFunc("PUT /leaving", act(func() { s.SetLeaving(true) }))
	mux.HandleFunc("DELETE /leaving", act(func() { s.SetLeaving(false) }))
	mux.HandleFunc("POST /crash", act(s.Crash))
	return mux
}

func act(do func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		do()
		w.WriteHeader(http.StatusNoContent)
	}
}

// Journal returns all records.
func (s *Server) Journal() []Record {
	return s.journal.All()
}

// SetLeaving says whether the engine is leaving: its load report tells so at
// once and new work is refused as not run; work in it goes on.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Crash kills the engine as a crashing request does.
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
	s.dead = true
	s.endAllLocked()
}

// Restart brings a dead engine back with the weights of its start.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = false
	s.leaving = false
	s.weights = protocol.WeightState{Active: s.options.Version, Staged: s.options.Version}
}

// endAllLocked ends all requests: those that run fail, those that wait are
// refused as not run.
func (s *Server) endAllLocked() {
	for _, q := range s.running {
		q.end(failed)
		s.journal.Append(recordOf(Failed, q))
	}
	for _, q := range s.waiting {
		q.end(refused)
		s.journal.Append(recordOf(Cancelled, q))
	}
	s.running, s.waiting = nil, nil
}

func (s *Server) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
