package traffic

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// writeProblem answers with a problem document and sets the outcome header.
func writeProblem(w http.ResponseWriter, problem request.Problem) {
	header := w.Header()
	header.Set("Content-Type", request.ProblemContentType)
	header.Set(request.HeaderOutcome, string(problem.Outcome))
	if problem.RetryAfterMillis > 0 {
		seconds := (problem.RetryAfterMillis + time.Second.Milliseconds() - 1) / time.Second.Milliseconds()
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(problem.Status)
	// If the caller has disconnected, there is no way to report a failed write.
	_ = json.NewEncoder(w).Encode(problem)
}

// fail answers with the problem of an error of the request layer, logs it and
// returns its outcome.
func (s *Server) fail(w http.ResponseWriter, c *caller, err error) request.Outcome {
	problem := c.problem(err)
	c.refusal = RefusalOf(err)
	s.logFailure(c, problem, err)
	writeProblem(w, problem)
	return problem.Outcome
}

func (c *caller) problem(err error) request.Problem {
	problem := request.ProblemOf(err)
	problem.RequestID = c.requestID
	return problem
}

func (s *Server) logFailure(c *caller, problem request.Problem, err error) {
	kind := event.RequestRefused
	if problem.Outcome == request.Unknown {
		kind = event.RequestUnknown
	}
	kind.Log(context.Background(), s.logger,
		slog.String("request", c.requestID),
		slog.String("class", c.class.Name),
		slog.String("tenant", c.tenant),
		slog.String("cause", err.Error()))
}
