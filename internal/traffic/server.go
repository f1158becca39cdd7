// Package traffic is the callers' side of an entry: HTTP handlers for
// completions, calls of plain services, and what trainers send.
package traffic

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/comfreyfront/comfreyfront/internal/claim"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/metrics"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Record is how one request ended, for the report.
type Record struct {
	Class  string
	Tenant string
	// Serves is the model or application asked for; empty when none is known.
	Serves   string
	Outcome  request.Outcome
	Took     time.Duration
	InTime   bool
	Attempts int
	Hedges   int
	// Refusal is why a request did not run.
	Refusal Refusal
	// Weights are those of an answer; Stale: they are over the class's target.
	Weights dispatch.Weights
	Stale   bool
}

// Recorder keeps the figures of the report.
type Recorder interface {
	Record(Record)
}

const (
	// maxHeldBodies bounds the bodies of all requests at a time, in bytes.
	maxHeldBodies = 256 << 20
	// fullRetryAfter is when to come back after that bound was met.
	fullRetryAfter = time.Second
)

// Options of the server. All fields are needed but those with a default.
type Options struct {
	Snapshots  *control.Snapshots
	Dispatcher *dispatch.Dispatcher
	Claimer    claim.Claimer
	Metrics    *metrics.Traffic
	Recorder   Recorder
	// Steps serves trainers' steps; Rollouts serves weight rollouts.
	Steps    http.Handler
	Rollouts http.Handler
	// Ready serves the balancer's readiness check.
	Ready http.Handler
	// RequestTimeout is the longest time for one request.
	RequestTimeout time.Duration
	// Clock tells the time; nil is time.Now.
	Clock func() time.Time
}

// Server is the callers' side. It is an http.Handler.
type Server struct {
	options Options
	logger  *slog.Logger
	mux     *http.ServeMux
	// bodies bounds the bytes of bodies that are held at once.
	bodies *semaphore.Weighted
	// detached counts keyed requests that go on after their caller went.
	detached sync.WaitGroup
}

// New returns a server.
func New(options Options, logger *slog.Logger) *Server {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	s := &Server{options: options, logger: logger, mux: http.NewServeMux(), bodies: semaphore.NewWeighted(maxHeldBodies)}
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

// ServeHTTP serves one request and recovers from faults of a handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverFault(r)
	size := heldSize(r)
	if !s.bodies.TryAcquire(size) {
		err := request.ErrRefused.New("this entry holds as many bytes of bodies as it may")
		writeProblem(w, request.ProblemOf(request.WithRetryAfter(err, fullRetryAfter)))
		return
	}
	defer s.bodies.Release(size)
	r.Body = newTimedBody(w, r.Body)
	s.mux.ServeHTTP(w, r)
}

// heldSize is how many bytes of body a request may have held, at least one.
func heldSize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return maxBodySize
	}
	return min(max(r.ContentLength, 1), maxHeldBodies)
}

// Wait returns when no request goes on that its caller has left, or with the
// context's error.
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
