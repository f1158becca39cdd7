// Package traffic implements the caller-facing HTTP server of an entry, which handles
// completions, calls of plain services, and requests of trainers.
package traffic

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/metrics"
	"github.com/comfreyfront/comfreyfront/internal/panics"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Record describes the end of one request, for the report.
type Record struct {
	Class  string
	Tenant string
	// Serves is the requested model or application; empty if no endpoint serves it.
	Serves   string
	Outcome  request.Outcome
	Took     time.Duration
	InTime   bool
	Attempts int
	Hedges   int
	// Refusal is why a request did not run.
	Refusal Refusal
	// Weights describes the weights of an answer. Stale is set if they exceed the class's
	// freshness target.
	Weights dispatch.Weights
	Stale   bool
}

// Recorder collects the figures of the report.
type Recorder interface {
	Record(Record)
}

// Options configures a Server. All fields without a default are required.
type Options struct {
	Snapshots  *control.Snapshots
	Dispatcher *dispatch.Dispatcher
	Claimer    claim.Claimer
	Metrics    *metrics.Traffic
	Recorder   Recorder
	// Steps serves trainers' steps; Rollouts serves weight rollouts.
	Steps    http.Handler
	Rollouts http.Handler
	// Ready serves the load balancer's readiness check.
	Ready http.Handler
	// RequestTimeout bounds the duration of one request.
	RequestTimeout time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// Server handles the requests of callers. It implements http.Handler.
type Server struct {
	options Options
	logger  *slog.Logger
	mux     *http.ServeMux
	// detached tracks keyed requests, which continue after their callers disconnect.
	detached sync.WaitGroup
}

// New returns a server.
func New(options Options, logger *slog.Logger) *Server {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	s := &Server{options: options, logger: logger, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	s.mux.HandleFunc("/services/{application}/{path...}", s.serveService)
	s.mux.Handle("/v1/steps", options.Steps)
	s.mux.Handle("/v1/steps/", options.Steps)
	s.mux.Handle("/v1/rollouts", options.Rollouts)
	s.mux.Handle("/v1/rollouts/", options.Rollouts)
	s.mux.Handle("GET /readyz", options.Ready)
	s.mux.HandleFunc("/", s.serveUnknownPath)
	return s
}

// ServeHTTP serves one request. It logs a panic of the handler and aborts the response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer panics.Recover(r, s.logger)
	s.mux.ServeHTTP(w, r)
}

// Wait waits until all keyed requests have ended, including those whose callers have
// disconnected. It returns the context's error if ctx ends first.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.detached.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) now() time.Time { return s.options.Clock() }

func (s *Server) serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, request.Problem{
		Type:    "about:blank",
		Title:   "no such path",
		Status:  http.StatusNotFound,
		Detail:  r.Method + " " + r.URL.Path + " is not served; see docs/PROTOCOL.md",
		Outcome: request.NotRun,
	})
}
