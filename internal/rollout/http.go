package rollout

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Path is the path of the trainers' API. A POST of a Record to Path accepts it; a GET
// of Path/{model} returns the record of a model.
const Path = "/v1/rollouts"

// maxBodySize is the maximum size of the request body of a rollout, in bytes.
const maxBodySize = 4 << 10

// retryAfter is the time after which a trainer should retry a call that was refused
// temporarily.
const retryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	model, hasModel := strings.CutPrefix(req.URL.Path, Path+"/")
	var record Record
	var err error
	switch {
	case !hasModel && req.Method == http.MethodPost:
		record, err = a.post(w, req)
	case hasModel && req.Method == http.MethodGet && modelPattern.MatchString(model):
		record, _, err = a.read(req.Context(), model)
	default:
		err = ErrInvalid.New("unknown path or method")
	}
	write(w, record, err)
}

func (a *Acceptor) post(w http.ResponseWriter, req *http.Request) (Record, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodySize))
	if err != nil {
		return Record{}, ErrInvalid.Wrap(err, "the body is incomplete or exceeds %d bytes", maxBodySize)
	}
	record, err := decode(body)
	if err != nil {
		return Record{}, err
	}
	return a.Accept(req.Context(), record)
}

func decode(body []byte) (Record, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var record Record
	if err := decoder.Decode(&record); err != nil {
		return Record{}, ErrInvalid.Wrap(err, "malformed body")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Record{}, ErrInvalid.New("the body has more than one JSON value")
	}
	return record, nil
}

func write(w http.ResponseWriter, record Record, err error) {
	var body any = record
	status, outcome, contentType := http.StatusOK, request.Answered, "application/json"
	if err != nil {
		problem := problemOf(err)
		body, status, outcome, contentType = problem, problem.Status, problem.Outcome, request.ProblemContentType
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set(request.HeaderOutcome, string(outcome))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func problemOf(err error) request.Problem {
	p := request.Problem{Type: "about:blank", Detail: err.Error(), Outcome: request.NotRun}
	switch {
	case errorx.IsOfType(err, ErrInvalid):
		p.Status, p.Title = http.StatusBadRequest, "invalid rollout"
	case errorx.IsOfType(err, ErrSuperseded):
		// An earlier attempt of the same call may have been accepted.
		p.Status, p.Title, p.Outcome = http.StatusConflict, "superseded", request.Unknown
	case errorx.IsOfType(err, ErrUnknown):
		p.Status, p.Title, p.Outcome = http.StatusBadGateway, "outcome unknown", request.Unknown
		p.RetryAfterMillis = retryAfter.Milliseconds()
	default:
		p.Status, p.Title = http.StatusServiceUnavailable, "refused"
		p.RetryAfterMillis = retryAfter.Milliseconds()
	}
	return p
}
