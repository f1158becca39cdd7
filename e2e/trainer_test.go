package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/engine"
	standin "github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

const (
	// pullWait is the time that a pull waits for the first sample.
	pullWait = 500 * time.Millisecond
	// pullTimeout bounds one attempt at a call of a trainer.
	pullTimeout = 3 * time.Second
	// trainerPause is the time between two attempts.
	trainerPause = 50 * time.Millisecond
)

// trainer runs one step as a real trainer does: it retries calls that got no answer, keeps the
// samples that it received, and resends its specification when the step is unknown.
type trainer struct {
	c           *caller
	spec        wire.Spec
	version     atomic.Int64 // current weight version of the trainer
	pullVersion int64        // weight version of the trainer at the last pull

	epoch      int64
	pull       int64
	holdings   wire.Holdings
	samples    []wire.Sample
	violations []string // descriptions of violated guarantees
}

func newTrainer(env *environment, name string, step int64, groups, size, tokens int) *trainer {
	spec := wire.Spec{Trainer: name, Step: step, Model: model, Class: "training", WeightVersion: 1, Staleness: 2}
	for g := range groups {
		spec.Groups = append(spec.Groups, wire.Group{Prompt: fmt.Sprintf("%s step %d group %d", name, step, g), Size: size, MaxTokens: tokens})
	}
	tr := &trainer{c: newCaller(env, env.BalancerAddress()), spec: spec}
	tr.version.Store(spec.WeightVersion)
	return tr
}

// total returns the number of samples in the step.
func (tr *trainer) total() int {
	total := 0
	for _, group := range tr.spec.Groups {
		total += group.Size
	}
	return total
}

// run creates and pulls the step, and reports whether it was complete by the deadline.
func (tr *trainer) run(deadline time.Time) bool {
	complete := false
	created := false
	for !complete && time.Now().Before(deadline) {
		switch {
		case !created:
			created = tr.create()
		default:
			complete, created = tr.sendPull()
		}
		if !complete {
			<-time.After(trainerPause)
		}
	}
	tr.confirm()
	return complete
}

// create sends the specification of the step and reports whether the service accepted it.
func (tr *trainer) create() bool {
	body := wire.CreateRequest{Spec: tr.spec, Holds: tr.holdings.Clone(), Epoch: tr.epoch}
	a := tr.post(wire.PathSteps, body)
	if a.status != http.StatusOK || a.outcome == outcomeLost {
		return false
	}
	var reply wire.CreateReply
	if json.Unmarshal(a.body, &reply) != nil {
		return false
	}
	tr.epoch = max(tr.epoch, reply.Epoch)
	return true
}

// sendPull sends the current pull, which stays the same until it is answered. It reports whether
// the step is complete and whether the service knows the step.
func (tr *trainer) sendPull() (complete, known bool) {
	if tr.pull == 0 {
		tr.pull = 1
	}
	tr.pullVersion = tr.version.Load()
	request := wire.PullRequest{
		Holds: tr.holdings.Clone(), Epoch: tr.epoch, Pull: tr.pull,
		WeightVersion: tr.pullVersion, WaitMillis: pullWait.Milliseconds(),
	}
	a := tr.post(tr.path(wire.ActionPull), request)
	switch {
	case a.outcome == outcomeLost:
		return false, true
	case a.status == http.StatusOK:
		return tr.acceptReply(a.body), true
	}
	return false, tr.handleProblem(a.body)
}

// handleProblem updates the trainer after a refused pull. It returns false if the specification
// must be resent.
func (tr *trainer) handleProblem(body []byte) bool {
	var problem wire.Problem
	if json.Unmarshal(body, &problem) != nil {
		return true
	}
	switch problem.Type {
	case wire.ProblemUnknownStep:
		return false
	case wire.ProblemSuperseded:
		tr.pull = problem.LastPull + 1
	case wire.ProblemExpired:
		tr.pull++
	case wire.ProblemConflict, wire.ProblemDeadline:
		tr.violations = append(tr.violations, "refused permanently: "+string(body))
	}
	return true
}

// acceptReply stores the samples of a reply to the current pull and reports whether the step is
// complete.
func (tr *trainer) acceptReply(body []byte) bool {
	var reply wire.PullReply
	if json.Unmarshal(body, &reply) != nil || reply.Pull != tr.pull || reply.Epoch < tr.epoch {
		return false
	}
	tr.epoch = reply.Epoch
	tr.pull++
	for _, sample := range reply.Samples {
		tr.checkSample(sample)
		tr.samples = append(tr.samples, sample)
	}
	return reply.Complete
}

// checkSample records the guarantees that a sample violates.
func (tr *trainer) checkSample(sample wire.Sample) {
	id := wire.SampleID{Group: sample.Group, Index: sample.Index}
	if !tr.holdings.Add(id) {
		tr.violations = append(tr.violations, fmt.Sprintf("sample delivered twice: %v", id))
	}
	if wire.OverBound(sample.Spans, tr.pullVersion, tr.spec.Staleness) {
		tr.violations = append(tr.violations, fmt.Sprintf("sample older than the staleness bound: %v has %v, trainer at version %d", id, sample.Spans, tr.pullVersion))
	}
	if sample.Error != "" {
		tr.violations = append(tr.violations, fmt.Sprintf("sample refused: %v: %s", id, sample.Error))
	}
}

// confirm acknowledges all received samples.
func (tr *trainer) confirm() {
	tr.post(tr.path(wire.ActionConfirm), wire.ConfirmRequest{Holds: tr.holdings.Clone(), Epoch: tr.epoch})
}

func (tr *trainer) path(action string) string {
	return fmt.Sprintf("%s/%s/%d/%s", wire.PathSteps, tr.spec.Trainer, tr.spec.Step, action)
}

func (tr *trainer) post(path string, body any) attempt {
	encoded, err := json.Marshal(body)
	if err != nil {
		return attempt{outcome: outcomeLost, err: err}
	}
	return tr.c.send(http.MethodPost, path, headers("training"), encoded, pullTimeout)
}

// checkAgainstJournals compares every sample with the text that the engines generate for one of the
// seeds in their journals, and returns a description of each violation.
func (tr *trainer) checkAgainstJournals(records map[string][]standin.Record) []string {
	violations := append([]string{}, tr.violations...)
	if len(tr.samples) != tr.total() {
		violations = append(violations, fmt.Sprintf("received %d samples of %d", len(tr.samples), tr.total()))
	}
	for _, sample := range tr.samples {
		if !wasGenerated(sample, records[tr.spec.Groups[sample.Group].Prompt]) {
			violations = append(violations, fmt.Sprintf("no engine generated this sample with its versions: %+v", sample))
		}
	}
	return violations
}

// wasGenerated reports whether a sample's text is what an engine generates for its prompt and
// spans, with one of the seeds in the journals.
func wasGenerated(sample wire.Sample, records []standin.Record) bool {
	var spans []engine.Span
	for _, span := range sample.Spans {
		spans = append(spans, engine.Span(span))
	}
	for _, record := range records {
		base := standin.Base(model, record.Prompt, record.Seed)
		if record.Event == standin.Begun && standin.Text(base, 0, spans) == sample.Text {
			return true
		}
	}
	return false
}
