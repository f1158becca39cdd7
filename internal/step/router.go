package step

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2"
	"github.com/joomcode/errorx"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/intake"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// Limits of routing.
const (
	// maxHops is the maximum number of entries at which one call is tried.
	maxHops = 3
	// forwardMargin is added to the requested wait to give the timeout of a
	// forwarded call.
	forwardMargin = 2 * time.Second
	// hintEntries is the number of units whose last owner is cached.
	hintEntries = 1024
)

// RouterOptions configures a Router. All but Logger are required.
type RouterOptions struct {
	Service *Service
	// Self is the identifier of this entry.
	Self string
	// Peers returns the entries that are alive.
	Peers func() []control.Peer
	// Rank sorts the identifiers of entries by their preference for owning a unit.
	Rank func(unit string, ids []string) []string
	// Dial returns the client of a peer.
	Dial   func(peer control.Peer) peerpb.Peer
	Logger *slog.Logger
}

// Router is the HTTP handler for trainers. It handles the calls for steps that this
// entry owns and forwards the others to their owners. A forwarded call is never
// forwarded again, and a call is tried at no more than maxHops entries.
type Router struct {
	options RouterOptions
	// holders caches which entry last answered for a unit.
	holders *lru.Cache[string, string]
}

// NewRouter returns a Router. The service uses the router to hand its steps over
// when it drains.
func NewRouter(options RouterOptions) *Router {
	holders, err := lru.New[string, string](hintEntries)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	r := &Router{options: options, holders: holders}
	options.Service.successor = r.handOver
	return r
}

// handOver hands a step over to the first entry by rank that accepts it.
func (r *Router) handOver(ctx context.Context, unit string, call *peerpb.StepCall) error {
	for _, id := range r.options.Rank(unit, r.liveIDs()) {
		if id == r.options.Self {
			continue
		}
		if result := r.callEntry(ctx, id, call); result != nil && result.Status == http.StatusOK {
			return nil
		}
	}
	return ErrUnreachable.New("no entry accepted %s", unit)
}

// Server handles calls that other entries forward.
type Server struct{ Service *Service }

// Step implements the Step method of peerpb.Peer.
func (s Server) Step(ctx context.Context, call *peerpb.StepCall) (*peerpb.StepResult, error) {
	return s.Service.Call(ctx, call), nil
}

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	call, err := readCall(w, req)
	if err != nil {
		w.Header().Set("Connection", "close")
		writeResult(w, problemResult(err))
		return
	}
	writeResult(w, r.Route(req.Context(), call))
}

// callCopies is how many times its size a call needs beyond its body: the decoded call, and its
// encoding for the owner.
const callCopies = 2

func readCall(w http.ResponseWriter, req *http.Request) (*peerpb.StepCall, error) {
	if req.Method == methodHandOver {
		return nil, ErrInvalid.New("unknown action or method")
	}
	limit := int64(maxCallBytes)
	if req.URL.Path == wire.PathSteps {
		limit = maxSpecBytes
	}
	body, err := intake.ReadBody(w, req, intake.BodyLimits{Size: limit})
	if err == nil {
		err = intake.HoldOf(req.Context()).Take(req.Context(), callCopies*int64(len(body)))
	}
	if errorx.IsOfType(err, intake.ErrShort) {
		return nil, ErrShort.Wrap(err, "this entry has reached its limit on the memory for request bodies")
	}
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "the body is incomplete or exceeds %d bytes", limit)
	}
	return &peerpb.StepCall{
		Method: req.Method, Path: req.URL.Path, Body: body,
		RequestId: req.Header.Get(request.HeaderRequestID),
		Class:     req.Header.Get(request.HeaderClass),
		Tenant:    req.Header.Get(request.HeaderTenant),
	}, nil
}

func writeResult(w http.ResponseWriter, result *peerpb.StepResult) {
	w.Header().Set("Content-Type", result.ContentType)
	outcome := request.Answered
	if result.Status != http.StatusOK {
		outcome = request.NotRun
	}
	w.Header().Set(request.HeaderOutcome, string(outcome))
	w.WriteHeader(int(result.Status))
	_, _ = w.Write(result.Body)
}

// Route sends a trainer's call to the entry that owns its step and returns the
// result.
func (r *Router) Route(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult {
	parsed, err := parseTarget(call)
	if err != nil {
		return problemResult(err)
	}
	unit := parsed.unit()
	targets := r.targets(unit)
	for hop := 0; hop < maxHops && hop < len(targets); hop++ {
		result := r.callEntry(ctx, targets[hop], call)
		if result == nil {
			r.holders.Remove(unit)
			continue
		}
		if result.Status != http.StatusMisdirectedRequest {
			r.holders.Add(unit, targets[hop])
			return result
		}
		r.holders.Remove(unit)
		targets = redirect(targets, hop, result)
	}
	event.StepForwardFailed.Log(ctx, r.options.Logger, slog.String("step", unit))
	return problemResult(ErrUnreachable.New("the owner of %s could not be reached", unit))
}

// targets returns the IDs of the entries to try, in order: this entry if it runs
// the step, the one that answered last, then the others by rank.
func (r *Router) targets(unit string) []string {
	var targets []string
	if r.options.Service.Owns(unit) {
		targets = append(targets, r.options.Self)
	}
	if holder, ok := r.holders.Get(unit); ok && holder != r.options.Self {
		targets = append(targets, holder)
	}
	for _, id := range r.options.Rank(unit, r.liveIDs()) {
		if !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

func (r *Router) liveIDs() []string {
	var ids []string
	for _, peer := range r.options.Peers() {
		if !peer.Leaving {
			ids = append(ids, peer.ID)
		}
	}
	return ids
}

// redirect replaces the targets after hop by the holder named in a status 421
// result. If that holder was already tried, no targets remain. If the result names
// no holder, the targets stay as they are.
func redirect(targets []string, hop int, result *peerpb.StepResult) []string {
	var misdirection misdirected
	if json.Unmarshal(result.Body, &misdirection) != nil || misdirection.Holder == "" {
		return targets
	}
	tried := targets[:hop+1]
	if slices.Contains(tried, misdirection.Holder) {
		return tried
	}
	return append(slices.Clone(tried), misdirection.Holder)
}

// callEntry sends a call to this entry or to another one and returns its result, or
// nil if the other entry could not be reached.
func (r *Router) callEntry(ctx context.Context, id string, call *peerpb.StepCall) *peerpb.StepResult {
	if id == r.options.Self {
		return r.options.Service.Call(ctx, call)
	}
	pos := slices.IndexFunc(r.options.Peers(), func(p control.Peer) bool { return p.ID == id })
	if pos < 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout(call))
	defer cancel()
	result, err := r.options.Dial(r.options.Peers()[pos]).Step(ctx, call)
	if err != nil {
		return nil
	}
	return result
}

// forwardTimeout returns the timeout of a forwarded call.
func forwardTimeout(call *peerpb.StepCall) time.Duration {
	var params struct {
		WaitMillis int64 `json:"wait_ms"`
	}
	if len(call.Body) <= maxCallBytes && json.Unmarshal(call.Body, &params) == nil {
		return waitOf(&wire.PullRequest{WaitMillis: params.WaitMillis}) + forwardMargin
	}
	return forwardMargin
}
