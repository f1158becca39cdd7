package step

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// methodHandOver is the method of the call with which a leaving entry hands a step
// over to its successor. It is accepted from entries only, not from trainers.
const methodHandOver = "HANDOVER"

// maxHandOverBytes bounds the sample text in a handover. Samples that do not fit
// are generated again.
const maxHandOverBytes = 16 << 20

// handOver is the message from a leaving owner to its successor. Create is the
// request that the trainer would send; Samples and Partials are what has been
// generated.
type handOver struct {
	Create   wire.CreateRequest `json:"create"`
	Samples  []wire.Sample      `json:"samples,omitempty"`
	Partials []handoverPartial  `json:"partials,omitempty"`
}

// handoverPartial is an unfinished sample in a handover.
type handoverPartial struct {
	wire.SampleID
	Text   string      `json:"text"`
	Tokens int         `json:"tokens"`
	Spans  []wire.Span `json:"spans"`
}

// export returns the handover message for the step.
func (s *Step) export() handOver {
	out := handOver{Create: wire.CreateRequest{Spec: s.spec}}
	size := 0
	for pos := range s.slots {
		slot := &s.slots[pos]
		if slot.state == held {
			out.Create.Holds.Add(slot.id)
			continue
		}
		if size += len(slot.sample.Text) + len(slot.partial.text); size > maxHandOverBytes {
			continue
		}
		if slot.state == ready {
			out.Samples = append(out.Samples, slot.sample)
		} else if slot.partial.tokens > 0 {
			out.Partials = append(out.Partials, handoverPartial{SampleID: slot.id, Text: string(slot.partial.text), Tokens: slot.partial.tokens, Spans: slot.partial.spans})
		}
	}
	return out
}

// adopt adds the samples that a previous owner generated and that this step does
// not have. Samples that exceed the staleness bound are ignored.
func (s *Step) adopt(in *handOver) {
	for _, sample := range in.Samples {
		pos, ok := s.position(wire.SampleID{Group: sample.Group, Index: sample.Index})
		wanted := ok && (s.slots[pos].state == waiting || s.slots[pos].state == running)
		if !wanted || wire.OverBound(sample.Spans, s.reference, s.spec.Staleness) {
			continue
		}
		s.slots[pos].partial = partial{}
		s.slots[pos].sample = sample
		s.setState(pos, ready)
	}
	for _, received := range in.Partials {
		pos, ok := s.position(received.SampleID)
		wanted := ok && s.slots[pos].state == waiting && s.slots[pos].partial.tokens == 0
		if !wanted || wire.OverBound(received.Spans, s.reference, s.spec.Staleness) {
			continue
		}
		s.slots[pos].partial = partial{text: []byte(received.Text), tokens: received.Tokens, spans: received.Spans}
	}
}

// position returns the position of a sample's slot, or false if the sample is not
// in the step.
func (s *Step) position(id wire.SampleID) (int, bool) {
	if id.Group < 0 || id.Group >= len(s.groups) || id.Index < 0 || id.Index >= s.groups[id.Group].size {
		return 0, false
	}
	return s.groups[id.Group].first + id.Index, true
}

// handOverAll releases the units of removed runs and hands their steps over to
// successors. If no entry accepts a step, its trainer creates it again on the next
// pull, and the samples that were not delivered are generated again.
func (s *Service) handOverAll(ctx context.Context, runs []*run) {
	for _, r := range runs {
		s.release(r.unit)
		if s.successor == nil {
			continue
		}
		if err := s.successor(ctx, r.unit, r.handOverCall()); err != nil {
			event.StepNotHandedOver.Log(ctx, s.options.Logger, slog.String("step", r.unit), slog.String("error", err.Error()))
		}
	}
}

// handOverCall returns the call that hands over a stopped run.
func (r *run) handOverCall() *peerpb.StepCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.step.export()
	out.Create.Epoch = r.epoch
	out.Create.AgeMillis = time.Since(r.created).Milliseconds()
	body, err := json.Marshal(&out)
	if err != nil {
		panic(err) // a handOver holds only strings and numbers
	}
	return &peerpb.StepCall{Method: methodHandOver, Path: pathOf(r.step.spec.Trainer, r.step.spec.Step), Body: body}
}

// adopt takes over a step from a leaving entry.
func (s *Service) adopt(ctx context.Context, call *peerpb.StepCall) (wire.CreateReply, error) {
	var in handOver
	if err := decode(call.Body, &in); err != nil {
		return wire.CreateReply{}, err
	}
	if err := validate(&in.Create.Spec); err != nil {
		return wire.CreateReply{}, err
	}
	unit, content := UnitOf(in.Create.Trainer, in.Create.Step), digestOf(&in.Create.Spec)
	if r := s.find(unit); r != nil {
		r.adopt(&in)
	}
	return s.create(ctx, unit, content, &in.Create, &in)
}

// adopt adds a previous owner's samples to a run that already exists because the
// trainer created the step again before the handover arrived.
func (r *run) adopt(in *handOver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.step.digest == digestOf(&in.Create.Spec) {
		r.step.adopt(in)
		r.wakePulls()
	}
}
