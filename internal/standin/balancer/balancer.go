// Package balancer is a stand-in for the platform's load balancer. It distributes
// requests over the ready entries by round robin. It opens a connection for each
// request, forwards streams without buffering, and never sends a request twice: it
// tries another entry only if it could not connect to the previous one. If an entry
// aborts a response, the balancer aborts the caller's connection too.
//
// An entry is ready while GET /readyz at its ready address returns 200. The control
// handler offers GET /backends, which returns a list of Status, and PUT /backends
// with a list of Backend that replaces the current one.
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

// Default check interval, timeouts and buffer size.
const (
	DefaultCheckInterval = 100 * time.Millisecond
	checkTimeout         = time.Second
	dialTimeout          = time.Second
	copyBufferBytes      = 32 << 10
)

// Backend contains the addresses of an entry.
type Backend struct {
	// Address is the host:port that serves callers' requests.
	Address string `json:"address"`
	// Ready is the host:port that serves /readyz.
	Ready string `json:"ready"`
}

// Status is a backend with its current readiness.
type Status struct {
	Backend
	IsReady bool `json:"is_ready"`
}

// Options configure a Server. The zero value is valid.
type Options struct {
	// Backends are the initial entries.
	Backends []Backend
	// CheckInterval is the time between two readiness checks;
	// DefaultCheckInterval if zero.
	CheckInterval time.Duration
}

// Server is a round-robin load balancer. Close it after use.
type Server struct {
	options     Options
	transport   *http.Transport
	checkClient *http.Client
	cancel      context.CancelFunc
	background  sync.WaitGroup

	mu       sync.Mutex
	backends []Status
	next     int
}

// New returns a balancer and starts its readiness checks.
func New(options Options) *Server {
	if options.CheckInterval == 0 {
		options.CheckInterval = DefaultCheckInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &net.Dialer{Timeout: dialTimeout}
	s := &Server{
		options:     options,
		transport:   &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext},
		checkClient: &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		cancel:      cancel,
	}
	s.SetBackends(options.Backends)
	s.background.Go(func() { s.watchReadiness(ctx) })
	return s
}

// Close stops the readiness checks and waits for them to end.
func (s *Server) Close() {
	s.cancel()
	s.background.Wait()
}

// SetBackends replaces the entries. An entry that was there before keeps its
// readiness; a new one is not ready until a check succeeds.
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

// Control returns the HTTP control interface.
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

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(s.forward)
}

// forward sends the request to the first candidate that accepts a connection.
func (s *Server) forward(w http.ResponseWriter, r *http.Request) {
	for _, address := range s.candidates() {
		resp, err := s.send(r, address)
		if err == nil {
			copyResponse(w, resp)
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

// candidates returns the addresses of the ready entries, starting at the next entry
// in round-robin order.
func (s *Server) candidates() []string {
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
	out.Body = io.NopCloser(r.Body) // not closed, so that another entry can be tried after a failed dial
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

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopHeaders(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// copyResponse forwards a response and flushes after each read. It panics with
// http.ErrAbortHandler if the entry aborts the response.
func copyResponse(w http.ResponseWriter, resp *http.Response) {
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
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
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
