package step

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/control"
	"github.com/comfreyfront/comfreyfront/internal/ownership"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/request"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
	"github.com/comfreyfront/comfreyfront/trainer"
)

const (
	testTrainer = "t"
	testUnit    = "step/t/1"
	testBound   = 1
	entryCount  = 3
)

var testSpec = wire.Spec{
	Trainer: testTrainer, Step: 1, Model: "m", Class: "c", Staleness: testBound, WeightVersion: 1,
	DeadlineMillis: (1000 * time.Hour).Milliseconds(),
	Groups:         []wire.Group{{Prompt: "a", Size: 2, MaxTokens: 8}, {Prompt: "b", Size: 3, MaxTokens: 4}, {Prompt: "c", Size: 1, MaxTokens: 4}},
}

// caller is the part of an entry that trainers' calls reach.
type caller interface {
	Call(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult
}

// taker is the trainer's side.
type taker interface {
	Create() wire.CreateRequest
	Created(wire.CreateReply)
	Pull(version int64) wire.PullRequest
	Skip(last int64)
	Accept(reply *wire.PullReply, version int64, take func(wire.Sample) error) error
	Complete() bool
}

// world is the trainer, the entries, the leases and the engines of one test.
type world struct {
	ctx     context.Context
	wrap    func(*Service) caller
	entries []*fakeEntry
	holder  string // of the lease on testUnit; "" when free
	epoch   int64
	outage  bool
	engines int64 // weight version of all engines
	trainer int64 // weight version that the trainer is at
	mu      sync.Mutex
	jobs    []*job         // in order of entry and sample
	nonces  map[string]int // generations by entry and sample
	account taker
	// restart makes the account of a trainer that goes on from what it holds.
	restart func(wire.Holdings) taker
	replies []wire.PullReply
	// seen holds the first reply with samples to each pull, by process.
	seen  map[string]string
	taken map[wire.SampleID]int
	// broken collects what went wrong, by promise.
	broken map[string]string
}

// job is one running generation.
type job struct {
	key     string
	text    string
	spans   []wire.Span
	pieces  chan Piece
	outcome chan error
}

func newWorld(wrap func(*Service) caller, account taker) *world {
	w := &world{
		ctx: context.Background(), wrap: wrap, engines: 1, trainer: 1, account: account,
		nonces: map[string]int{}, seen: map[string]string{}, taken: map[wire.SampleID]int{}, broken: map[string]string{},
	}
	for i := range entryCount {
		e := &fakeEntry{world: w, id: fmt.Sprintf("e%d", i)}
		w.entries = append(w.entries, e)
		e.start()
	}
	return w
}

// forwarded is the twirp client of a peer, without the network.
type forwarded struct {
	peerpb.Peer
	caller caller
}

func (f forwarded) Step(ctx context.Context, call *peerpb.StepCall) (*peerpb.StepResult, error) {
	return f.caller.Call(ctx, call), nil
}

func (w *world) peers() []control.Peer {
	var peers []control.Peer
	for _, e := range w.entries {
		peers = append(peers, control.Peer{ID: e.id})
	}
	return peers
}

func (w *world) alive(id string) bool { return !w.entry(id).unseen }

func (w *world) entry(id string) *fakeEntry {
	return w.entries[slices.IndexFunc(w.entries, func(e *fakeEntry) bool { return e.id == id })]
}

// begin registers a generation; its text opens with a mark of its own, so that
// no two generations of a sample have the same content.
func (w *world) begin(entry string, req GenerateRequest) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := &job{key: fmt.Sprintf("%s.%d.%d", entry, req.ID.Group, req.ID.Index), pieces: make(chan Piece), outcome: make(chan error)}
	w.nonces[j.key]++
	mark := fmt.Sprintf("%s#%d:", j.key, w.nonces[j.key])
	j.text, j.spans = req.Resume.Text+mark, slices.Clone(req.Resume.Spans)
	req.Progress(Piece{Text: mark})
	w.jobs = append(w.jobs, j)
	slices.SortStableFunc(w.jobs, func(a, b *job) int { return strings.Compare(a.key, b.key) })
	return j
}

func (w *world) end(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = slices.DeleteFunc(w.jobs, func(o *job) bool { return o == j })
}

// running returns the generations that run, in order of entry and sample.
func (w *world) running() []*job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.jobs)
}

// truth reads the spans off a text.
func truth(text string) []wire.Span {
	var spans []wire.Span
	for _, token := range strings.FieldsFunc(text, func(r rune) bool { return r == ' ' }) {
		token = token[strings.LastIndex(token, ":")+1:]
		if version, err := strconv.ParseInt(token, 10, 64); err == nil {
			spans = AppendSpan(spans, version, 1)
		}
	}
	return spans
}

func (w *world) breach(promise, format string, args ...any) {
	w.broken[promise] = fmt.Sprintf(format, args...)
}

// advanceJob lets one engine do one thing: 0 to 2 go on, 3 finishes, 4 fails.
func (w *world) advanceJob(at, what int) {
	j := w.running()[at]
	switch what {
	case 3:
		j.outcome <- nil
	case 4:
		j.outcome <- request.ErrNoEndpoint.New("failed")
	default:
		j.pieces <- Piece{Text: strconv.FormatInt(w.engines, 10) + " ", Tokens: 1, WeightVersion: w.engines}
	}
	synctest.Wait()
}

func (w *world) call(to caller, method, path string, body any) *peerpb.StepResult {
	encoded, _ := json.Marshal(body)
	result := to.Call(w.ctx, &peerpb.StepCall{Method: method, Path: path, Body: encoded})
	synctest.Wait()
	return result
}

// routed makes a call through an entry's router.
type routed struct{ router *Router }

func (r routed) Call(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult {
	return r.router.Route(ctx, call)
}

// create makes the step known as the client does.
func (w *world) create(to caller) {
	result := w.call(to, http.MethodPost, wire.PathSteps, w.account.Create())
	var reply wire.CreateReply
	if result.Status == http.StatusOK && json.Unmarshal(result.Body, &reply) == nil {
		w.account.Created(reply)
	}
}

// pull sends the present pull; a reply waits in replies until the test hands
// it over.
func (w *world) pull(to caller, process string) {
	req := w.account.Pull(w.trainer)
	result := w.call(to, http.MethodPost, "/v1/steps/t/1/pull", req)
	var problem wire.Problem
	_ = json.Unmarshal(result.Body, &problem)
	switch {
	case result.Status == http.StatusOK:
		w.record(process, result.Body, req.WeightVersion)
	case problem.Type == wire.ProblemUnknownStep:
		w.create(to)
	case problem.Type == wire.ProblemExpired || problem.Type == wire.ProblemSuperseded:
		w.account.Skip(problem.LastPull)
	}
}

func (w *world) record(process string, body []byte, version int64) {
	var reply wire.PullReply
	if err := json.Unmarshal(body, &reply); err != nil {
		w.breach("reply", "%v", err)
		return
	}
	w.replies = append(w.replies, reply)
	for _, s := range reply.Samples {
		if wire.OverBound(s.Spans, version, testBound) {
			w.breach("staleness", "reply to pull %d at %d has %v", reply.Pull, version, s.Spans)
		}
	}
	key := fmt.Sprintf("%s/%d", process, reply.Pull)
	if first, known := w.seen[key]; known && first != string(body) {
		w.breach("changed", "pull %s", key)
	}
	if len(reply.Samples) > 0 && process != "" {
		w.seen[key] = string(body)
	}
}

// deliver hands a reply over to the trainer, possibly late or again.
func (w *world) deliver(at int) {
	err := w.account.Accept(&w.replies[at], w.trainer, func(s wire.Sample) error {
		id := wire.SampleID{Group: s.Group, Index: s.Index}
		if w.taken[id]++; w.taken[id] > 1 {
			w.breach("twice", "%v", id)
		}
		if !slices.Equal(truth(s.Text), s.Spans) {
			w.breach("versions", "%v: %q has %v", id, s.Text, s.Spans)
		}
		if wire.OverBound(s.Spans, w.trainer, testBound) {
			w.breach("staleness", "%v: %v at %d", id, s.Spans, w.trainer)
		}
		return nil
	})
	if err != nil {
		w.breach("accept", "%v", err)
	}
}

// restartTrainer lets the trainer go on from a state in which it held only some
// of its samples. Replies to its former process are lost with that.
func (w *world) restartTrainer(keep int) {
	var holds wire.Holdings
	for g, group := range testSpec.Groups {
		for i := range group.Size {
			id := wire.SampleID{Group: g, Index: i}
			if w.taken[id] > 0 && keep > 0 {
				keep--
				holds.Add(id)
				continue
			}
			delete(w.taken, id)
		}
	}
	w.replies = nil
	w.account = w.restart(holds)
}

// lapse ends the lease; its holder may go on believing.
func (w *world) lapse(knows bool) {
	if w.outage {
		return
	}
	if w.holder != "" && knows {
		w.entry(w.holder).believed = ownership.Tenure{}
	}
	w.holder = ""
}

// kill replaces an entry's process by a new one that knows nothing.
func (w *world) kill(e *fakeEntry) {
	held := w.holder == e.id && !w.outage
	e.stop()
	if held {
		w.holder = ""
	}
	e.start()
}

func (e *fakeEntry) stop() {
	holder, believed := e.world.holder, e.believed
	e.service.successor = nil // a killed process hands nothing over
	_ = e.service.Drain(e.world.ctx)
	e.world.holder, e.believed = holder, believed
}

// replace lets an entry drain, which hands its step over, and starts it anew.
func (w *world) replace(e *fakeEntry) {
	_ = e.service.Drain(w.ctx)
	synctest.Wait()
	e.start()
}

func (w *world) stop() {
	for _, e := range w.entries {
		e.stop()
	}
}

// finish lets everything run without faults until the trainer says that the
// step is complete; false when it never does.
func (w *world) finish() bool {
	w.outage = false
	for _, e := range w.entries {
		e.unseen = false
	}
	for range 200 {
		if w.account.Complete() {
			return true
		}
		<-time.After(maxBackoff)
		synctest.Wait()
		for len(w.running()) > 0 {
			w.advanceJob(0, 0)
			w.advanceJob(0, 3)
		}
		w.replies = nil
		w.pull(routed{w.entries[0].router}, "")
		if len(w.replies) > 0 {
			w.deliver(0)
		}
	}
	return false
}

var _ taker = (*trainer.Account)(nil)
