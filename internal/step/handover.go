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

// methodHandOver marks a call by which an entry that leaves hands a step over.
// It is accepted from entries only.
const methodHandOver = "HANDOVER"

// maxHandOverBytes bounds the text in a hand-over; what is above it is
// generated again.
const maxHandOverBytes = 16 << 20

// handOver is what an owner that leaves tells its successor: the step as the
// trainer would, and what has been generated.
type handOver struct {
	Create   wire.CreateRequest `json:"create"`
	Samples  []wire.Sample      `json:"samples,omitempty"`
	Partials []handedPartial    `json:"partials,omitempty"`
}

// handedPartial is the beginning of a sample.
type handedPartial struct {
	wire.SampleID
	Text   string      `json:"text"`
	Tokens int         `json:"tokens"`
	Spans  []wire.Span `json:"spans"`
}

// export returns what has been generated of a step.
func (s *Step) export() handOver {
	out := handOver{Create: wire.CreateRequest{Spec: s.spec}}
	size := 0
	for at := range s.slots {
		slot := &s.slots[at]
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
			out.Partials = append(out.Partials, handedPartial{SampleID: slot.id, Text: string(slot.partial.text), Tokens: slot.partial.tokens, Spans: slot.partial.spans})
		}
	}
	return out
}

// adopt takes in what a former owner generated, where this one has nothing.
func (s *Step) adopt(in *handOver) {
	for _, sample := range in.Samples {
		at, ok := s.position(wire.SampleID{Group: sample.Group, Index: sample.Index})
		wanted := ok && (s.slots[at].state == waiting || s.slots[at].state == running)
		if !wanted || wire.OverBound(sample.Spans, s.reference, s.spec.Staleness) {
			continue
		}
		s.slots[at].partial = partial{}
		s.slots[at].sample = sample
		s.move(at, ready)
	}
	for _, begun := range in.Partials {
		at, ok := s.position(begun.SampleID)
		wanted := ok && s.slots[at].state == waiting && s.slots[at].partial.tokens == 0
		if !wanted || wire.OverBound(begun.Spans, s.reference, s.spec.Staleness) {
			continue
		}
		s.slots[at].partial = partial{text: []byte(begun.Text), tokens: begun.Tokens, spans: begun.Spans}
	}
}

// position returns the place of a sample's slot; false when the step has none.
func (s *Step) position(id wire.SampleID) (int, bool) {
	if id.Group < 0 || id.Group >= len(s.groups) || id.Index < 0 || id.Index >= s.groups[id.Group].size {
		return 0, false
	}
	return s.groups[id.Group].first + id.Index, true
}

// handOverAll gives removed runs' units up and their steps to successors. A step
// that is not taken is brought back by its trainer, without what was generated.
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

// handOverCall tells of a run that has stopped.
func (r *run) handOverCall() *peerpb.StepCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.step.export()
	out.Create.Epoch = r.epoch
	out.Create.AgeMillis = time.Since(r.made).Milliseconds()
	body, err := json.Marshal(&out)
	if err != nil {
		panic(err) // a handOver holds only strings and numbers
	}
	return &peerpb.StepCall{Method: methodHandOver, Path: pathOf(r.step.spec.Trainer, r.step.spec.Step), Body: body}
}

// adopt takes a step over from an entry that leaves.
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

// adopt takes a former owner's samples into a step that its trainer brought
// back first.
func (r *run) adopt(in *handOver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.step.digest == digestOf(&in.Create.Spec) {
		r.step.adopt(in)
		r.wake()
	}
}
