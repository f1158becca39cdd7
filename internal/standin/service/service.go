// Package service is a stand-in for a plain service, such as a register or a
// till. It takes any method and path. POST, PUT, PATCH and DELETE are updates:
// each one that runs is written to the journal with its body and
// Idempotency-Key, and its body becomes the value at the path. It does not
// deduplicate: two journal lines for one key mean that it ran twice. GET is a
// lookup and returns the value at the path. Every answer is a Result and echoes
// X-Request-Id.
//
// The control handler offers GET /journal (Records), PUT and DELETE /leaving,
// PUT and DELETE /delay, POST /crash, and the faults of package fault; a lost
// reply there is an update that ran and whose connection was dropped. A body or
// path that contains CrashMarker crashes the service while it runs.
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

// CrashMarker in a path or body crashes the service that runs it.
const CrashMarker = "#crash"

// HeaderIdempotencyKey carries the caller's key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Record is one call that ran, written before its answer.
type Record struct {
	At        time.Time `json:"at"`
	Sequence  int64     `json:"sequence"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body,omitempty"`
	Key       string    `json:"key,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
}

// Result is the body of every answer.
type Result struct {
	// Sequence is the number of the call at this service.
	Sequence int64  `json:"sequence"`
	Path     string `json:"path"`
	// Value is the value at the path, after an update the new one.
	Value string `json:"value"`
	// Found: the path has a value.
	Found bool `json:"found"`
	// RequestID is the X-Request-Id of the call.
	RequestID string `json:"request_id,omitempty"`
}

// Options of a Server. The zero value works.
type Options struct {
	// Delay is the time that a call takes.
	Delay time.Duration
	// Slots is the number of calls that run at once; others wait. Zero is no bound.
	Slots int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// JournalFile, if set, gets the journal as JSON lines.
	JournalFile string
	// OnCrash is called when a call crashes the service, and should end the
	// process. If nil, the server plays dead until Restart.
	OnCrash func()
}

// Server is the stand-in.
type Server struct {
	// Gate holds the faults.
	Gate    fault.Gate
	options Options
	journal *journal.Journal[Record]
	slots   chan struct{}

	mu       sync.Mutex
	delay    time.Duration
	values   map[string]string
	sequence int64
	leaving  bool
	dead     bool
	running  int
	waiting  int
	reports  []engine.LoadReport
}

// New returns a service without values.
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

// Handler returns the service's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, s.serveLoad)
	mux.HandleFunc("/", s.serve)
	return s.Gate.Wrap(s.live(mux))
}

// live closes the connections of a dead service.
func (s *Server) live(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDead() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

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
	if !s.enter(r) {
		return
	}
	defer s.exit()
	result := s.run(r, string(body))
	if s.isDead() {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodGet {
		s.Gate.LoseReply(r)
	}
	w.Header().Set(engine.HeaderRequestID, result.RequestID)
	jsonhttp.Write(w, http.StatusOK, result)
}

// enter waits for a slot; false when the caller gave up before the call ran.
func (s *Server) enter(r *http.Request) bool {
	s.count(&s.waiting, 1)
	defer s.count(&s.waiting, -1)
	if s.slots != nil {
		select {
		case <-r.Context().Done():
			return false
		case s.slots <- struct{}{}:
		}
	}
	s.count(&s.running, 1)
	return true
}

func (s *Server) exit() {
	s.count(&s.running, -1)
	if s.slots != nil {
		<-s.slots
	}
}

// run takes the call's time and then its effect, whether its caller waits or not.
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
	record := recordOf(r, body, s.sequence)
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

func recordOf(r *http.Request, body string, sequence int64) Record {
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

// Journal returns all records.
func (s *Server) Journal() []Record {
	return s.journal.All()
}

// ReadJournal returns the records of a journal's file.
func ReadJournal(path string) ([]Record, error) {
	return journal.ReadFile[Record](path)
}

// SetLeaving says whether the service is leaving: it refuses new work as not
// run and finishes the rest.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetDelay changes the time that a call takes.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Crash kills the service as a crashing call does.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

func (s *Server) crashLocked() {
	if s.options.OnCrash != nil {
		s.options.OnCrash()
	}
	s.dead = true
}

// Restart brings a dead service back with its values.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = false
	s.leaving = false
}

func (s *Server) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}
