package step

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Limits of the request bodies of calls, in bytes.
const (
	maxSpecBytes = 32 << 20
	maxCallBytes = 1 << 20
)

const jsonContentType = "application/json"

// target is the step and the action that a call's path and method identify.
type target struct {
	trainer string
	step    int64
	action  string
}

// Actions that are derived from the method of a call rather than from its path.
const (
	actionCreate   = "create"
	actionProgress = "progress"
	actionCancel   = "cancel"
	actionAdopt    = "adopt"
)

func (t target) unit() string { return UnitOf(t.trainer, t.step) }

// pathOf returns the path of a step.
func pathOf(trainer string, step int64) string {
	return wire.PathSteps + "/" + trainer + "/" + strconv.FormatInt(step, 10)
}

// parseTarget returns the target of a call. A create call names its step in the
// body, all others in the path.
func parseTarget(call *peerpb.StepCall) (target, error) {
	rest, ok := strings.CutPrefix(call.Path, wire.PathSteps)
	if !ok {
		return target{}, ErrInvalid.New("unknown path")
	}
	if rest == "" || rest == "/" {
		return parseCreate(call)
	}
	parts := strings.Split(strings.TrimPrefix(rest, "/"), "/")
	if len(parts) < 2 || len(parts) > 3 || !namePattern.MatchString(parts[0]) {
		return target{}, ErrInvalid.New("the path must be %s/{trainer}/{step}", wire.PathSteps)
	}
	number, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || number < 0 {
		return target{}, ErrInvalid.New("the step must be a non-negative integer")
	}
	t := target{trainer: parts[0], step: number}
	t.action, err = actionOf(call.Method, parts[2:])
	return t, err
}

func actionOf(method string, rest []string) (string, error) {
	switch {
	case len(rest) == 0 && method == methodHandOver:
		return actionAdopt, nil
	case len(rest) == 0 && method == http.MethodGet:
		return actionProgress, nil
	case len(rest) == 0 && method == http.MethodDelete:
		return actionCancel, nil
	case len(rest) == 1 && method == http.MethodPost && (rest[0] == wire.ActionPull || rest[0] == wire.ActionConfirm):
		return rest[0], nil
	}
	return "", ErrInvalid.New("unknown action or method")
}

func parseCreate(call *peerpb.StepCall) (target, error) {
	if call.Method != http.MethodPost {
		return target{}, ErrInvalid.New("%s accepts only POST", wire.PathSteps)
	}
	var name struct {
		Trainer string `json:"trainer"`
		Step    int64  `json:"step"`
	}
	if err := json.Unmarshal(call.Body, &name); err != nil {
		return target{}, ErrInvalid.Wrap(err, "malformed body")
	}
	return target{trainer: name.Trainer, step: name.Step, action: actionCreate}, nil
}

// decode decodes a body that must consist of exactly one JSON value without
// unknown fields.
func decode(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return ErrInvalid.Wrap(err, "malformed body")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return ErrInvalid.New("the body has more than one JSON value")
	}
	return nil
}

// Call handles a call from a trainer or one that another entry forwarded. Status
// 421 in the result means that this entry does not own the step.
func (s *Service) Call(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult {
	parsed, err := parseTarget(call)
	if err != nil {
		return problemResult(err)
	}
	if !s.beginCall() {
		return problemResult(ErrNotOwner.New("the entry is leaving"))
	}
	defer s.calls.Done()
	body, err := s.dispatch(ctx, parsed, call)
	if err != nil {
		return problemResult(err)
	}
	return &peerpb.StepResult{Status: http.StatusOK, ContentType: jsonContentType, Body: body}
}

func (s *Service) dispatch(ctx context.Context, parsed target, call *peerpb.StepCall) ([]byte, error) {
	switch parsed.action {
	case actionCreate:
		return s.callCreate(ctx, call)
	case wire.ActionPull:
		var req wire.PullRequest
		if err := decode(call.Body, &req); err != nil {
			return nil, err
		}
		return s.Pull(ctx, parsed.unit(), &req)
	case wire.ActionConfirm:
		var req wire.ConfirmRequest
		if err := decode(call.Body, &req); err != nil {
			return nil, err
		}
		return encode(s.Confirm(ctx, parsed.unit(), &req))
	case actionAdopt:
		return encode(s.adopt(ctx, call))
	case actionCancel:
		return encode(struct{}{}, s.Cancel(ctx, parsed.unit()))
	default:
		return encode(s.Progress(ctx, parsed.unit()))
	}
}

func (s *Service) callCreate(ctx context.Context, call *peerpb.StepCall) ([]byte, error) {
	var req wire.CreateRequest
	if err := decode(call.Body, &req); err != nil {
		return nil, err
	}
	if req.Class == "" {
		req.Class = call.Class
	}
	if req.Tenant == "" {
		req.Tenant = call.Tenant
	}
	return encode(s.Create(ctx, &req))
}

func encode[T any](value T, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return json.Marshal(value)
}
