// Package kv is a stand-in for the platform's metadata store, as a process: the
// published calls with faults from outside. Calls by client go by the user agent.
//
// The control handler offers the faults of package fault, and GET /calls, which
// counts calls by path and by client; a waiting watch counts as one call.
package kv

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/metastore/memory"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
	"github.com/comfreyfront/comfreyfront/platform/platformtest"
)

// Options of a Server. The zero value works.
type Options struct {
	// Now is the clock of leases; time.Now if nil.
	Now func() time.Time
	// History is the number of changes kept for watches; memory.DefaultHistory
	// if zero.
	History int
}

// Calls counts the calls that reached the service, faulty ones included.
type Calls struct {
	Total    int64            `json:"total"`
	ByPath   map[string]int64 `json:"by_path"`
	ByClient map[string]int64 `json:"by_client"`
}

// Server is the stand-in.
type Server struct {
	// Gate holds the faults.
	Gate  fault.Gate
	store *memory.Store

	mu    sync.Mutex
	calls Calls
}

// New returns an empty service.
func New(options Options) *Server {
	s := &Server{store: memory.New(options.Now), calls: Calls{ByPath: map[string]int64{}, ByClient: map[string]int64{}}}
	if options.History != 0 {
		s.store.KeepHistory(options.History)
	}
	return s
}

// Handler returns the service's interface.
func (s *Server) Handler() http.Handler {
	return s.count(s.Gate.Wrap(platformtest.StoreHandler(s.store, s.Gate.LoseReply)))
}

// Control returns the control interface.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.Gate.Register(mux)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Calls())
	})
	return mux
}

// Calls returns the counters.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Calls{Total: s.calls.Total, ByPath: maps.Clone(s.calls.ByPath), ByClient: maps.Clone(s.calls.ByClient)}
}

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls.Total++
		s.calls.ByPath[r.URL.Path]++
		s.calls.ByClient[fault.ClientOf(r)]++
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}
