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

// caller handles trainers' calls: a Service, a Router or a faulty variant of one.
type caller interface {
	Call(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult
}

// trainerAccount is the trainer's side of a step.
type trainerAccount interface {
	Create() wire.CreateRequest
	Created(wire.CreateReply)
	Pull(version int64) wire.PullRequest
	Skip(last int64)
	Accept(reply *wire.PullReply, version int64, handle func(wire.Sample) error) error
	Complete() bool
}

// simulation simulates the trainer, the entries, the lease and the engines of one test.
type simulation struct {
	ctx            context.Context
	wrap           func(*Service) caller
	entries        []*fakeEntry
	holder         string // holder of the lease on testUnit; "" if there is none
	epoch          int64
	storeOutage    bool
	engineVersion  int64 // weight version of all engines
	trainerVersion int64 // weight version of the trainer
	mu             sync.Mutex
	jobs           []*job         // sorted by entry and sample
	jobCounts      map[string]int // number of generations by entry and sample
	account        trainerAccount
	// restart returns the account of a trainer that restarts with some holdings; nil
	// if the trainer cannot restart.
	restart func(wire.Holdings) trainerAccount
	replies []wire.PullReply
	// firstReplies holds the first reply with samples, by entry process and pull.
	firstReplies map[string]string
	accepted     map[wire.SampleID]int
	// violations holds a description of each violation, by guarantee.
	violations map[string]string
}

// job is a running generation.
type job struct {
	key     string
	text    string
	spans   []wire.Span
	pieces  chan Piece
	outcome chan error
}

func newSimulation(wrap func(*Service) caller, account trainerAccount) *simulation {
	sim := &simulation{
		ctx: context.Background(), wrap: wrap, engineVersion: 1, trainerVersion: 1, account: account,
		jobCounts: map[string]int{}, firstReplies: map[string]string{}, accepted: map[wire.SampleID]int{}, violations: map[string]string{},
	}
	for i := range entryCount {
		e := &fakeEntry{simulation: sim, id: fmt.Sprintf("e%d", i)}
		sim.entries = append(sim.entries, e)
		e.start()
	}
	return sim
}

// localPeer is a peer client that calls the peer directly, without the network.
type localPeer struct {
	peerpb.Peer
	caller caller
}

func (p localPeer) Step(ctx context.Context, call *peerpb.StepCall) (*peerpb.StepResult, error) {
	return p.caller.Call(ctx, call), nil
}

func (sim *simulation) peers() []control.Peer {
	var peers []control.Peer
	for _, e := range sim.entries {
		peers = append(peers, control.Peer{ID: e.id})
	}
	return peers
}

func (sim *simulation) alive(id string) bool { return !sim.entry(id).reportedDead }

func (sim *simulation) entry(id string) *fakeEntry {
	return sim.entries[slices.IndexFunc(sim.entries, func(e *fakeEntry) bool { return e.id == id })]
}

// startJob registers a generation. The generation adds a unique mark to the text, so
// that no two generations of a sample have the same content.
func (sim *simulation) startJob(entry string, req GenerateRequest) *job {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	j := &job{key: fmt.Sprintf("%s.%d.%d", entry, req.ID.Group, req.ID.Index), pieces: make(chan Piece), outcome: make(chan error)}
	sim.jobCounts[j.key]++
	mark := fmt.Sprintf("%s#%d:", j.key, sim.jobCounts[j.key])
	j.text, j.spans = req.Resume.Text+mark, slices.Clone(req.Resume.Spans)
	req.Progress(Piece{Text: mark})
	sim.jobs = append(sim.jobs, j)
	slices.SortStableFunc(sim.jobs, func(a, b *job) int { return strings.Compare(a.key, b.key) })
	return j
}

func (sim *simulation) endJob(j *job) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.jobs = slices.DeleteFunc(sim.jobs, func(other *job) bool { return other == j })
}

// running returns the running generations, sorted by entry and sample.
func (sim *simulation) running() []*job {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.jobs)
}

// spansInText parses the spans from the versions in a text.
func spansInText(text string) []wire.Span {
	var spans []wire.Span
	for _, token := range strings.FieldsFunc(text, func(r rune) bool { return r == ' ' }) {
		token = token[strings.LastIndex(token, ":")+1:]
		if version, err := strconv.ParseInt(token, 10, 64); err == nil {
			spans = AppendSpan(spans, version, 1)
		}
	}
	return spans
}

func (sim *simulation) recordViolation(guarantee, format string, args ...any) {
	sim.violations[guarantee] = fmt.Sprintf(format, args...)
}

// advanceJob performs one action of a generation: 0 to 2 emit a token, 3 finishes the
// sample, 4 fails.
func (sim *simulation) advanceJob(pos, action int) {
	j := sim.running()[pos]
	switch action {
	case 3:
		j.outcome <- nil
	case 4:
		j.outcome <- request.ErrNoEndpoint.New("failed")
	default:
		j.pieces <- Piece{Text: strconv.FormatInt(sim.engineVersion, 10) + " ", Tokens: 1, WeightVersion: sim.engineVersion}
	}
	synctest.Wait()
}

func (sim *simulation) call(to caller, method, path string, body any) *peerpb.StepResult {
	encoded, _ := json.Marshal(body)
	result := to.Call(sim.ctx, &peerpb.StepCall{Method: method, Path: path, Body: encoded})
	synctest.Wait()
	return result
}

// routed sends calls through an entry's router.
type routed struct{ router *Router }

func (r routed) Call(ctx context.Context, call *peerpb.StepCall) *peerpb.StepResult {
	return r.router.Route(ctx, call)
}

// create creates the step, as the trainer's client does.
func (sim *simulation) create(to caller) {
	result := sim.call(to, http.MethodPost, wire.PathSteps, sim.account.Create())
	var reply wire.CreateReply
	if result.Status == http.StatusOK && json.Unmarshal(result.Body, &reply) == nil {
		sim.account.Created(reply)
	}
}

// pull sends the trainer's current pull. A reply is stored in replies until the test
// delivers it.
func (sim *simulation) pull(to caller, process string) {
	req := sim.account.Pull(sim.trainerVersion)
	result := sim.call(to, http.MethodPost, "/v1/steps/t/1/pull", req)
	var problem wire.Problem
	_ = json.Unmarshal(result.Body, &problem)
	switch {
	case result.Status == http.StatusOK:
		sim.record(process, result.Body, req.WeightVersion)
	case problem.Type == wire.ProblemUnknownStep:
		sim.create(to)
	case problem.Type == wire.ProblemExpired || problem.Type == wire.ProblemSuperseded:
		sim.account.Skip(problem.LastPull)
	}
}

func (sim *simulation) record(process string, body []byte, version int64) {
	var reply wire.PullReply
	if err := json.Unmarshal(body, &reply); err != nil {
		sim.recordViolation("reply", "%v", err)
		return
	}
	sim.replies = append(sim.replies, reply)
	for _, s := range reply.Samples {
		if wire.OverBound(s.Spans, version, testBound) {
			sim.recordViolation("staleness", "reply to pull %d at %d has %v", reply.Pull, version, s.Spans)
		}
	}
	key := fmt.Sprintf("%s/%d", process, reply.Pull)
	if first, exists := sim.firstReplies[key]; exists && first != string(body) {
		sim.recordViolation("changed", "pull %s", key)
	}
	if len(reply.Samples) > 0 && process != "" {
		sim.firstReplies[key] = string(body)
	}
}

// deliver passes a stored reply to the trainer, possibly late or repeatedly.
func (sim *simulation) deliver(pos int) {
	err := sim.account.Accept(&sim.replies[pos], sim.trainerVersion, func(s wire.Sample) error {
		id := wire.SampleID{Group: s.Group, Index: s.Index}
		if sim.accepted[id]++; sim.accepted[id] > 1 {
			sim.recordViolation("twice", "%v", id)
		}
		if !slices.Equal(spansInText(s.Text), s.Spans) {
			sim.recordViolation("versions", "%v: %q has %v", id, s.Text, s.Spans)
		}
		if wire.OverBound(s.Spans, sim.trainerVersion, testBound) {
			sim.recordViolation("staleness", "%v: %v at %d", id, s.Spans, sim.trainerVersion)
		}
		return nil
	})
	if err != nil {
		sim.recordViolation("accept", "%v", err)
	}
}

// restartTrainer restarts the trainer from an earlier state in which it held only the
// first keep of its samples. Replies to its previous process are lost.
func (sim *simulation) restartTrainer(keep int) {
	var holds wire.Holdings
	for g, group := range testSpec.Groups {
		for i := range group.Size {
			id := wire.SampleID{Group: g, Index: i}
			if sim.accepted[id] > 0 && keep > 0 {
				keep--
				holds.Add(id)
				continue
			}
			delete(sim.accepted, id)
		}
	}
	sim.replies = nil
	sim.account = sim.restart(holds)
}

// expireLease ends the lease. Unless notify is set, the holder still considers it
// valid.
func (sim *simulation) expireLease(notify bool) {
	if sim.storeOutage {
		return
	}
	if sim.holder != "" && notify {
		sim.entry(sim.holder).cachedTenure = ownership.Tenure{}
	}
	sim.holder = ""
}

// kill replaces an entry's process by a new one without state.
func (sim *simulation) kill(e *fakeEntry) {
	wasHolder := sim.holder == e.id && !sim.storeOutage
	e.stop()
	if wasHolder {
		sim.holder = ""
	}
	e.start()
}

func (e *fakeEntry) stop() {
	holder, cachedTenure := e.simulation.holder, e.cachedTenure
	e.service.successor = nil // a killed process does not hand over its steps
	_ = e.service.Drain(e.simulation.ctx)
	e.simulation.holder, e.cachedTenure = holder, cachedTenure
}

// replace drains an entry, which hands its step over, and restarts it.
func (sim *simulation) replace(e *fakeEntry) {
	_ = e.service.Drain(sim.ctx)
	synctest.Wait()
	e.start()
}

func (sim *simulation) stop() {
	for _, e := range sim.entries {
		e.stop()
	}
}

// finish runs everything without faults until the trainer's step is complete. It
// returns false if the step does not complete.
func (sim *simulation) finish() bool {
	sim.storeOutage = false
	for _, e := range sim.entries {
		e.reportedDead = false
	}
	for range 200 {
		if sim.account.Complete() {
			return true
		}
		<-time.After(maxBackoff)
		synctest.Wait()
		for len(sim.running()) > 0 {
			sim.advanceJob(0, 0)
			sim.advanceJob(0, 3)
		}
		sim.replies = nil
		sim.pull(routed{sim.entries[0].router}, "")
		if len(sim.replies) > 0 {
			sim.deliver(0)
		}
	}
	return false
}

var _ trainerAccount = (*trainer.DeliveryTracker)(nil)
