// Package service is a stand-in for a plain service, such as a register or a
// point-of-sale system. It accepts any method and path. POST, PUT, PATCH and DELETE
// are updates: each one that runs is written to the journal with its body and
// Idempotency-Key, and its body becomes the value at the path. Updates are not
// deduplicated: two journal lines with one key mean that the update ran twice. GET is
// a lookup and returns the value at the path. Every response body is a Result, and
// the response repeats X-Request-Id.
//
// The control handler offers GET /journal, which returns a list of Record, PUT and
// DELETE /leaving, PUT and DELETE /delay, POST /crash, and the faults of package
// fault. A lost reply is an update that ran and whose connection was closed without a
// response. A request whose body or path contains CrashMarker crashes the service.
package service

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/journal"
	"github.com/comfreyfront/comfreyfront/internal/standin/jsonhttp"
)

// CrashMarker crashes the service that runs a request with this text in its path or
// body.
const CrashMarker = "#crash"

// HeaderIdempotencyKey is the header with the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Record describes a call that ran. It is written before the response is sent.
type Record struct {
	At        time.Time `json:"at"`
	Sequence  int64     `json:"sequence"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body,omitempty"`
	Key       string    `json:"key,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
}

// Result is the body of every response.
type Result struct {
	// Sequence is the number of calls that have run, including this one.
	Sequence int64  `json:"sequence"`
	Path     string `json:"path"`
	// Value is the value at the path; for an update, the new value.
	Value string `json:"value"`
	// Found reports whether the path has a value.
	Found bool `json:"found"`
	// RequestID is the value of the call's X-Request-Id header.
	RequestID string `json:"request_id,omitempty"`
}

// Options configure a Server. The zero value is valid.
type Options struct {
	// Delay is the duration of a call.
	Delay time.Duration
	// Slots is the maximum number of concurrent calls; further calls wait. Zero
	// means no limit.
	Slots int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// JournalFile, if set, is the path of a file to which the journal is appended
	// as JSON lines.
	JournalFile string
	// OnCrash is called when a call crashes the service, and should end the
	// process. If nil, the server closes all connections without a response until
	// Restart.
	OnCrash func()
}

// Server is a plain service that records its calls.
type Server struct {
	// Gate applies the injected faults.
	Gate    fault.Gate
	options Options
	journal *journal.Journal[Record]
	slots   chan struct{}

	mu       sync.Mutex
	delay    time.Duration
	values   map[string]string
	sequence int64
	leaving  bool
	crashed  bool
	running  int
	waiting  int
	reports  []engine.LoadReport
}

// New returns a service that has no values.
func New(options Options) (*Server, error) {
	records, err := journal.Open[Record](options.JournalFile)
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, journal: records, delay: options.Delay, values: map[string]string{}}
	if options.Slots > 0 {
		s.slots = make(chan struct{}, options.Slots)
	}
	s.Gate.Refuse = refuse
	return s, nil
}

// Handler returns the HTTP interface of the service.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, s.serveLoad)
	mux.HandleFunc("/", s.serve)
	return s.Gate.Wrap(s.abortIfCrashed(mux))
}

// abortIfCrashed closes connections without a response while the service is crashed.
func (s *Server) abortIfCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrashed() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// refuse answers with 503 and marks the call as not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, jsonhttp.MaxBody))
	if err != nil {
		w.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.isLeaving() {
		w.Header().Set(engine.HeaderLeaving, "true")
		refuse(w)
		return
	}
	if !s.acquireSlot(r) {
		return
	}
	defer s.releaseSlot()
	result := s.run(r, string(body))
	if s.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodGet {
		s.Gate.LoseReply(r)
	}
	w.Header().Set(engine.HeaderRequestID, result.RequestID)
	jsonhttp.Write(w, http.StatusOK, result)
}

// acquireSlot waits for a free slot. It returns false if the caller disconnects
// first.
func (s *Server) acquireSlot(r *http.Request) bool {
	s.adjustLoad(&s.waiting, 1)
	defer s.adjustLoad(&s.waiting, -1)
	if s.slots != nil {
		select {
		case <-r.Context().Done():
			return false
		case s.slots <- struct{}{}:
		}
	}
	s.adjustLoad(&s.running, 1)
	return true
}

func (s *Server) releaseSlot() {
	s.adjustLoad(&s.running, -1)
	if s.slots != nil {
		<-s.slots
	}
}

// run waits for the delay and then performs the call, even if the caller disconnects
// in the meantime.
func (s *Server) run(r *http.Request, body string) Result {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	record := newRecord(r, body, s.sequence)
	s.journal.Append(record)
	if strings.Contains(body, CrashMarker) || strings.Contains(r.URL.Path, CrashMarker) {
		s.crashLocked()
	}
	if r.Method != http.MethodGet {
		s.values[record.Path] = body
	}
	value, found := s.values[record.Path]
	return Result{Sequence: record.Sequence, Path: record.Path, Value: value, Found: found, RequestID: record.RequestID}
}

func newRecord(r *http.Request, body string, sequence int64) Record {
	return Record{
		At:        time.Now(),
		Sequence:  sequence,
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      body,
		Key:       r.Header.Get(HeaderIdempotencyKey),
		RequestID: r.Header.Get(engine.HeaderRequestID),
	}
}

// Journal returns the records of all calls.
func (s *Server) Journal() []Record {
	return s.journal.All()
}

// ReadJournal returns the records of the journal file at path.
func ReadJournal(path string) ([]Record, error) {
	return journal.ReadFile[Record](path)
}

// SetLeaving sets whether the service is leaving. A leaving service refuses new calls
// as not run and finishes the calls in progress.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetDelay sets the duration of a call.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Crash crashes the service, as a call with CrashMarker does.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

func (s *Server) crashLocked() {
	if s.options.OnCrash != nil {
		s.options.OnCrash()
	}
	s.crashed = true
}

// Restart restarts a crashed service with its previous values.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
	s.leaving = false
}

func (s *Server) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}
