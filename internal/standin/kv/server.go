// Package kv is a stand-in for the platform's key-value service.
//
// Protocol: the types and paths of package kvclient; all calls are POST with a
// JSON body, an error answer carries kvclient.Failure. Revisions rise by one
// with each change of any key. A watch is a long poll. Watches before the kept
// history, or beyond the newest revision, fail as compacted. A lease lapses by
// time and takes its keys with it.
//
// The control handler offers the faults of package fault, and GET /calls, which
// counts calls by path and by client; a waiting watch counts as one call.
package kv

import (
	"net/http"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue/kvclient"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Options of a Server. The zero value works.
type Options struct {
	// Now is the clock of leases; time.Now if nil.
	Now func() time.Time
	// History is the number of changes kept for watches; DefaultHistory if zero.
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
	store *store

	mu    sync.Mutex
	calls Calls
}

// New returns an empty service.
func New(options Options) *Server {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.History == 0 {
		options.History = DefaultHistory
	}
	return &Server{
		store: newStore(options.Now, options.History),
		calls: Calls{ByPath: map[string]int64{}, ByClient: map[string]int64{}},
	}
}

// Handler returns the service's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(s, mux, kvclient.PathGet, reads, func(_ *http.Request, req kvclient.KeyRequest) (any, *failure) {
		return pair(s.store.get(req.Key))
	})
	handle(s, mux, kvclient.PathList, reads, func(_ *http.Request, req kvclient.ListRequest) (any, *failure) {
		return s.store.list(req.Prefix), nil
	})
	handle(s, mux, kvclient.PathSwap, writes, func(_ *http.Request, req kvclient.SwapRequest) (any, *failure) {
		return pair(s.store.swap(req))
	})
	handle(s, mux, kvclient.PathDelete, writes, func(_ *http.Request, req kvclient.DeleteRequest) (any, *failure) {
		return none{}, s.store.delete(req)
	})
	handle(s, mux, kvclient.PathWatch, reads, func(r *http.Request, req kvclient.WatchRequest) (any, *failure) {
		return pair(s.store.watch(r.Context(), req))
	})
	s.handleLeases(mux)
	return s.count(s.Gate.Wrap(mux))
}

func (s *Server) handleLeases(mux *http.ServeMux) {
	handle(s, mux, kvclient.PathGrant, writes, func(_ *http.Request, req kvclient.GrantRequest) (any, *failure) {
		id, f := s.store.grant(time.Duration(req.TTLMillis) * time.Millisecond)
		return kvclient.LeaseReply{Lease: id}, f
	})
	handle(s, mux, kvclient.PathKeepAlive, writes, func(_ *http.Request, req kvclient.LeaseRequest) (any, *failure) {
		return none{}, s.store.keepAlive(req.Lease)
	})
	handle(s, mux, kvclient.PathRevoke, writes, func(_ *http.Request, req kvclient.LeaseRequest) (any, *failure) {
		return none{}, s.store.revoke(req.Lease)
	})
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
	calls := Calls{Total: s.calls.Total, ByPath: map[string]int64{}, ByClient: map[string]int64{}}
	for path, count := range s.calls.ByPath {
		calls.ByPath[path] = count
	}
	for client, count := range s.calls.ByClient {
		calls.ByClient[client] = count
	}
	return calls
}

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls.Total++
		s.calls.ByPath[r.URL.Path]++
		s.calls.ByClient[r.Header.Get(kvclient.HeaderClientID)]++
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

type none struct{}

type effect bool

const (
	reads  effect = false
	writes effect = true
)

// handle routes one kind of call; a write's reply may be lost by a fault.
func handle[T any](s *Server, mux *http.ServeMux, path string, effect effect, run func(*http.Request, T) (any, *failure)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req T
		if !jsonhttp.Read(w, r, &req) {
			return
		}
		reply, f := run(r, req)
		if f != nil {
			jsonhttp.Write(w, f.status, f.body)
			return
		}
		if effect == writes {
			s.Gate.LoseReply(r)
		}
		jsonhttp.Write(w, http.StatusOK, reply)
	})
}

func pair[T any](reply T, f *failure) (any, *failure) {
	return reply, f
}
