package traffic

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/class"
	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/dispatch"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Limits on requests, and the default tenant.
const (
	maxBodySize   = 1 << 20 // bytes
	maxKeyLength  = 255     // bytes of an Idempotency-Key
	defaultTenant = "default"
	// overloadRetryAfter is the retry delay reported when there is no memory for a body.
	overloadRetryAfter = time.Second
)

// HeaderIdempotent is the header with which a caller states whether a request may run more
// than once. It overrides the default of the request's method.
const HeaderIdempotent = "X-Idempotent"

var (
	tenantPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
)

// caller holds the parameters that a caller states in the headers of a request.
type caller struct {
	requestID  string
	class      class.Class
	tenant     string
	key        string
	idempotent bool
	minVersion int64
	arrived    time.Time
	// serves is the requested model or application.
	serves string
	// refusal is why the request did not run, for the report.
	refusal Refusal
}

// readCaller reads and checks the headers, and echoes the request ID. It always returns a
// caller, even with an error, so that a refusal can be logged.
func (s *Server) readCaller(w http.ResponseWriter, r *http.Request) (*caller, error) {
	c := &caller{arrived: s.now(), requestID: r.Header.Get(request.HeaderRequestID), tenant: defaultTenant}
	if !requestIDPattern.MatchString(c.requestID) {
		c.requestID = dispatch.NewID()
	}
	w.Header().Set(request.HeaderRequestID, c.requestID)
	steps := []func(*http.Request) error{c.readTenant, c.readKey, c.readMinVersion, s.classReader(c)}
	for _, step := range steps {
		if err := step(r); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (s *Server) classReader(c *caller) func(*http.Request) error {
	return func(r *http.Request) error {
		name := r.Header.Get(request.HeaderClass)
		found, ok := s.confirmedSnapshot(r.Context()).Classes.Find(name)
		if !ok {
			return request.ErrInvalid.New("header %s: there is no class %q; an operator creates classes with `comfreyfront class apply`", request.HeaderClass, name)
		}
		c.class = found
		return nil
	}
}

// confirmTimeout bounds the wait for a confirmation of the class document, which is needed,
// for example, after the process was paused.
const confirmTimeout = time.Second

// confirmedSnapshot returns a snapshot whose classes were recently confirmed to be the
// newest. If they cannot be confirmed in time, it returns the latest snapshot.
func (s *Server) confirmedSnapshot(ctx context.Context) *control.Snapshot {
	if snapshot := s.options.Snapshots.Load(); snapshot.Fresh(s.now()) {
		return snapshot
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	snapshot, _ := s.options.Snapshots.Confirmed(ctx, s.options.Clock)
	return snapshot
}

func (c *caller) readTenant(r *http.Request) error {
	tenant := r.Header.Get(request.HeaderTenant)
	if tenant == "" {
		return nil
	}
	if !tenantPattern.MatchString(tenant) {
		return request.ErrInvalid.New("header %s: must be 1 to 63 letters, digits, dots, dashes or underscores", request.HeaderTenant)
	}
	c.tenant = tenant
	return nil
}

func (c *caller) readKey(r *http.Request) error {
	keys := r.Header.Values(request.HeaderIdempotencyKey)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyLength)) {
		return request.ErrInvalid.New("header %s: give one key of 1 to %d bytes", request.HeaderIdempotencyKey, maxKeyLength)
	}
	c.key = r.Header.Get(request.HeaderIdempotencyKey)
	return c.readIdempotent(r)
}

// readIdempotent decides whether the request may run more than once. The caller's header
// takes precedence over the method, and a request with a key always runs at most once.
func (c *caller) readIdempotent(r *http.Request) error {
	switch value := r.Header.Get(HeaderIdempotent); value {
	case "":
		c.idempotent = c.key == "" && r.Method != http.MethodPost && r.Method != http.MethodPatch
	case "true":
		if c.key != "" {
			return request.ErrInvalid.New("header %s: true contradicts %s", HeaderIdempotent, request.HeaderIdempotencyKey)
		}
		c.idempotent = true
	case "false":
		c.idempotent = false
	default:
		return request.ErrInvalid.New("header %s: must be true or false", HeaderIdempotent)
	}
	return nil
}

func (c *caller) readMinVersion(r *http.Request) error {
	text := r.Header.Get(request.HeaderMinVersion)
	if text == "" {
		return nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return request.ErrInvalid.New("header %s: %q is not a weight version, such as 17", request.HeaderMinVersion, text)
	}
	c.minVersion = version
	return nil
}

// readBody reads the complete body within the limits on its size and time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := intake.ReadBody(w, r, intake.BodyLimits{Size: maxBodySize})
	if err == nil {
		err = intake.HoldOf(r.Context()).Take(r.Context(), intake.ExchangeBytes)
	}
	switch {
	case err == nil:
		return body, nil
	case errorx.IsOfType(err, intake.ErrTooLarge):
		return nil, request.ErrTooLarge.New("at most %d bytes are accepted", maxBodySize)
	case errorx.IsOfType(err, intake.ErrShort):
		refused := request.ErrRefused.Wrap(err, "this entry has reached its limit on the memory for request bodies")
		return nil, request.WithRetryAfter(refused, overloadRetryAfter)
	}
	return nil, request.ErrInvalid.Wrap(err, "the body did not arrive completely")
}

// receive reads the headers and the body of a request. It returns false if it has answered
// the request with an error.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) (*caller, []byte, bool) {
	c, err := s.readCaller(w, r)
	var body []byte
	if err == nil {
		if body, err = readBody(w, r); err != nil {
			w.Header().Set("Connection", "close")
		}
	}
	if err != nil {
		s.record(c, s.fail(w, c, err), dispatch.Effort{})
		return c, nil, false
	}
	return c, body, true
}

// call returns the parameters of the request for the dispatcher.
func (c *caller) call(fingerprint dispatch.Fingerprint) dispatch.Call {
	return dispatch.Call{
		RequestID:   c.requestID,
		Class:       c.class,
		Tenant:      c.tenant,
		Arrived:     c.arrived,
		MinVersion:  c.minVersion,
		Idempotent:  c.idempotent,
		Fingerprint: fingerprint,
	}
}
