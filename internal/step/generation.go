package step

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// start is one started sample: the attempt and what to ask for.
type start struct {
	at      int
	attempt int
	request GenerateRequest
}

// next starts the first waiting sample; false when none waits. Cancel ends its
// generation when the step no longer wants it.
func (s *Step) next(cancel context.CancelFunc) (start, bool) {
	at, ok := s.dequeue()
	if !ok {
		return start{}, false
	}
	slot := &s.slots[at]
	s.move(at, running)
	slot.attempt++
	slot.cancel = cancel
	slot.pace = pace{}
	return start{at: at, attempt: slot.attempt, request: s.request(slot)}, true
}

func (s *Step) request(slot *slot) GenerateRequest {
	spec := &s.spec.Groups[slot.id.Group]
	done := s.counts[ready] + s.counts[held]
	return GenerateRequest{
		Trainer: s.spec.Trainer, Step: s.spec.Step, ID: slot.id,
		Model: s.spec.Model, Class: s.spec.Class, Tenant: s.spec.Tenant,
		Prompt: spec.Prompt, MaxTokens: spec.MaxTokens, Seed: s.seed(slot.id),
		Resume:     Partial{Text: string(slot.partial.text), Tokens: slot.partial.tokens, Spans: slices.Clone(slot.partial.spans)},
		MinVersion: max(0, s.reference-s.spec.Staleness),
		Urgency:    float64(done) / float64(len(s.slots)),
	}
}

// seed depends on the sample's identity alone, so that samples of a group differ.
func (s *Step) seed(id wire.SampleID) int64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(UnitOf(s.spec.Trainer, s.spec.Step))
	_, _ = hash.Write([]byte{byte(id.Group), byte(id.Group >> 8), byte(id.Group >> 16), byte(id.Index), byte(id.Index >> 8), byte(id.Index >> 16)})
	return int64(hash.Sum64() >> 1)
}

// current reports whether an attempt is still the one that runs.
func (s *Step) current(at, attempt int) bool {
	return s.slots[at].state == running && s.slots[at].attempt == attempt
}

// progress records a piece of a running sample.
func (s *Step) progress(at, attempt int, piece Piece, now time.Time) {
	if !s.current(at, attempt) {
		return
	}
	s.slots[at].pace.note(piece.Tokens, now)
	p := &s.slots[at].partial
	p.text = append(p.text, piece.Text...)
	p.tokens += piece.Tokens
	p.spans = AppendSpan(p.spans, piece.WeightVersion, piece.Tokens)
}

// finish records a whole sample. One that is over the bound already is
// discarded and waits again.
func (s *Step) finish(at, attempt int, generation Generation, now time.Time) {
	if !s.current(at, attempt) {
		return
	}
	slot := &s.slots[at]
	s.notePace(slot.pace, now)
	slot.partial = partial{}
	if wire.OverBound(generation.Spans, s.reference, s.spec.Staleness) {
		s.discard(at, generation.Spans, true)
		return
	}
	slot.sample = wire.Sample{
		Group: slot.id.Group, Index: slot.id.Index,
		Text: generation.Text, FinishReason: generation.FinishReason, Spans: generation.Spans,
	}
	s.move(at, ready)
}

// refuse ends a sample whose request can't be run.
func (s *Step) refuse(at, attempt int, reason string) {
	if !s.current(at, attempt) {
		return
	}
	slot := &s.slots[at]
	slot.partial = partial{}
	slot.sample = wire.Sample{
		Group: slot.id.Group, Index: slot.id.Index,
		FinishReason: wire.FinishRefused, Error: reason,
	}
	s.move(at, ready)
}

// fail lets a sample wait again; what it has is kept.
func (s *Step) fail(at, attempt int) {
	if s.current(at, attempt) {
		s.move(at, waiting)
	}
}

// Advance tells the step a version that the trainer or the platform has
// reached. What is over the bound by now is discarded and waits again.
func (s *Step) Advance(version int64) {
	if version <= s.reference {
		return
	}
	s.reference = version
	for at := range s.slots {
		s.expire(at)
	}
}

func (s *Step) expire(at int) {
	slot := &s.slots[at]
	spans := slot.sample.Spans
	if slot.state == waiting || slot.state == running {
		spans = slot.partial.spans
	}
	if wire.OverBound(spans, s.reference, s.spec.Staleness) {
		s.discard(at, spans, slot.state == ready)
	}
}

// discard throws a sample or its beginning away and lets it wait again.
func (s *Step) discard(at int, spans []wire.Span, whole bool) {
	slot := &s.slots[at]
	oldest, _ := wire.Oldest(spans)
	s.discarded++
	s.observe.Discarded(s.reference-oldest, whole)
	s.move(at, waiting)
	slot.partial = partial{}
	slot.sample = wire.Sample{}
}
