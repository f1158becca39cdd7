// Package balancer is a stand-in for the platform's balancer: it gives each
// request to the next ready entry in turn. It opens a connection for each
// request, passes streams on as they come, and never sends a request twice: it
// goes on to another entry only when the connection to the first was refused.
// An answer that breaks off is broken off towards the caller too.
//
// An entry is ready while GET /readyz at its ready address answers 200. The
// control handler offers GET /backends (Status), and PUT /backends with a list
// of Backend that replaces the present one.
package balancer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// Defaults of Options.
const (
	DefaultCheckInterval = 100 * time.Millisecond
	checkTimeout         = time.Second
	dialTimeout          = time.Second
	copyBufferBytes      = 32 << 10
)

// Backend is one entry.
type Backend struct {
	// Address is where it takes callers' requests, host:port.
	Address string `json:"address"`
	// Ready is where it answers /readyz, host:port.
	Ready string `json:"ready"`
}

// Status is a backend with its readiness.
type Status struct {
	Backend
	IsReady bool `json:"is_ready"`
}

// Options of a Server. The zero value works.
type Options struct {
	// Backends are the entries at the start.
	Backends []Backend
	// CheckInterval is the time between two checks of readiness.
	CheckInterval time.Duration
}

// Server is the stand-in. Close it after use.
type Server struct {
	options   Options
	transport *http.Transport
	checks    *http.Client
	cancel    context.CancelFunc
	ended     sync.WaitGroup

	mu       sync.Mutex
	backends []Status
	next     int
}

// New returns a running balancer.
func New(options Options) *Server {
	if options.CheckInterval == 0 {
		options.CheckInterval = DefaultCheckInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: dialTimeout}
	s := &Server{
		options:   options,
		transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext},
		checks:    &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		cancel:    cancel,
	}
	s.SetBackends(options.Backends)
	s.ended.Go(func() { s.watchReadiness(ctx) })
	return s
}

// Close stops the checks.
func (s *Server) Close() {
	s.cancel()
	s.ended.Wait()
}

// SetBackends replaces the entries; a new one is not ready before a check.
func (s *Server) SetBackends(backends []Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := map[Backend]bool{}
	for _, status := range s.backends {
		ready[status.Backend] = status.IsReady
	}
	s.backends = make([]Status, 0, len(backends))
	for _, backend := range backends {
		s.backends = append(s.backends, Status{Backend: backend, IsReady: ready[backend]})
	}
}

// Backends returns the entries and their readiness.
func (s *Server) Backends() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Status{}, s.backends...)
}

// Control returns the control interface.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /backends", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Backends())
	})
	mux.HandleFunc("PUT /backends", func(w http.ResponseWriter, r *http.Request) {
		var backends []Backend
		if jsonhttp.Read(w, r, &backends) {
			s.SetBackends(backends)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// Handler returns the callers' interface.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(s.forward)
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request) {
	for _, address := range s.turn() {
		resp, err := s.send(r, address)
		if err == nil {
			relay(w, resp)
			return
		}
		if !isDialError(err) {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		s.markUnready(address)
	}
	w.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// turn returns the ready entries, beginning with the one whose turn it is.
func (s *Server) turn() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []string
	for i := range s.backends {
		backend := s.backends[(s.next+i)%len(s.backends)]
		if backend.IsReady {
			ready = append(ready, backend.Address)
		}
	}
	s.next++
	return ready
}

func (s *Server) send(r *http.Request, address string) (*http.Response, error) {
	out := r.Clone(r.Context())
	out.URL = &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out.RequestURI = ""
	out.Body = io.NopCloser(r.Body) // kept open for the next entry after a refused connection
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.GetBody = nil
	out.Close = false
	removeHopHeaders(out.Header)
	return s.transport.RoundTrip(out)
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopHeaders(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func relay(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	removeHopHeaders(resp.Header)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return
			}
			_ = controller.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
