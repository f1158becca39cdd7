package step

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// retryAfter is the time after which a trainer should retry a call that was refused
// temporarily.
const retryAfter = 250 * time.Millisecond

// misdirected is the body of a status 421 response between entries.
type misdirected struct {
	// Holder is the ID of the entry that holds the step, if known.
	Holder string `json:"holder,omitempty"`
}

// problemResult converts an error into a result. ErrNotOwner becomes status 421,
// which routers handle and do not return to trainers.
func problemResult(err error) *peerpb.StepResult {
	if errorx.IsOfType(err, ErrNotOwner) {
		body, _ := json.Marshal(misdirected{Holder: holderOf(err)})
		return &peerpb.StepResult{Status: http.StatusMisdirectedRequest, ContentType: jsonContentType, Body: body}
	}
	problem := problemOf(err)
	body, _ := json.Marshal(wire.Problem{Problem: problem, LastPull: lastPullOf(err)})
	return &peerpb.StepResult{Status: int32(problem.Status), ContentType: request.ProblemContentType, Body: body}
}

func problemOf(err error) request.Problem {
	p := request.Problem{Type: "about:blank", Status: http.StatusInternalServerError, Title: "internal error", Detail: err.Error(), Outcome: request.Unknown}
	switch {
	case errorx.IsOfType(err, ErrInvalid):
		p.Status, p.Title = http.StatusBadRequest, "invalid call"
	case errorx.IsOfType(err, ErrUnknownStep):
		p.Status, p.Title, p.Type = http.StatusNotFound, "unknown step", wire.ProblemUnknownStep
	case errorx.IsOfType(err, ErrConflict):
		p.Status, p.Title, p.Type = http.StatusConflict, "another specification", wire.ProblemConflict
	case errorx.IsOfType(err, ErrSuperseded):
		p.Status, p.Title, p.Type = http.StatusConflict, "newer pull", wire.ProblemSuperseded
	case errorx.IsOfType(err, ErrExpired):
		p.Status, p.Title, p.Type = http.StatusConflict, "reply expired", wire.ProblemExpired
	case errorx.IsOfType(err, ErrDeadline):
		p.Status, p.Title, p.Type = http.StatusGatewayTimeout, "deadline passed", wire.ProblemDeadline
	case errorx.IsOfType(err, ErrNotOwner):
		p.Status, p.Title, p.Type = http.StatusConflict, "not owner any more", wire.ProblemNotOwner
		p.RetryAfterMillis = retryAfter.Milliseconds()
	case errorx.IsOfType(err, ErrDraining), errorx.IsOfType(err, ErrUnreachable), errorx.IsOfType(err, ErrShort):
		p.Status, p.Title = http.StatusServiceUnavailable, "refused"
		p.RetryAfterMillis = retryAfter.Milliseconds()
	default:
		return p
	}
	p.Outcome = request.NotRun
	return p
}
