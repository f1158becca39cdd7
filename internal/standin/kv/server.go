// Package kv is a stand-in for the platform's metadata store. It serves the store's
// HTTP interface, with fault injection. Clients are identified by user agent.
//
// The control handler offers the faults of package fault, and GET /calls, which
// returns the number of calls by path and by client. A pending watch counts as one
// call.
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

// Options configure a Server. The zero value is valid.
type Options struct {
	// Now is the clock that leases expire by; time.Now if nil.
	Now func() time.Time
	// History is the number of past changes stored for watches;
	// memory.DefaultHistory if zero.
	History int
}

// Calls contains the numbers of calls received, including those that a fault
// answered.
type Calls struct {
	Total    int64            `json:"total"`
	ByPath   map[string]int64 `json:"by_path"`
	ByClient map[string]int64 `json:"by_client"`
}

// Server is a metadata store with fault injection.
type Server struct {
	// Gate applies the injected faults.
	Gate  fault.Gate
	store *memory.Store

	mu    sync.Mutex
	calls Calls
}

// New returns a server with an empty store.
func New(options Options) *Server {
	s := &Server{store: memory.New(options.Now), calls: Calls{ByPath: map[string]int64{}, ByClient: map[string]int64{}}}
	if options.History != 0 {
		s.store.KeepHistory(options.History)
	}
	return s
}

// Handler returns the HTTP interface of the store.
func (s *Server) Handler() http.Handler {
	return s.count(s.Gate.Wrap(platformtest.StoreHandler(s.store, s.Gate.LoseReply)))
}

// Control returns the HTTP control interface.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	s.Gate.Register(mux)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Calls())
	})
	return mux
}

// Calls returns a copy of the call counters.
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
