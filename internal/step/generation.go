package step

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyfront/comfreyfront/internal/step/wire"
)

// startedSample is one started attempt at a sample and the request for it.
type startedSample struct {
	pos     int
	attempt int
	request GenerateRequest
}

// startNext starts the first waiting sample and returns false when no sample is
// waiting. The step calls cancel when it no longer needs the attempt.
func (s *Step) startNext(cancel context.CancelFunc) (startedSample, bool) {
	pos, ok := s.dequeue()
	if !ok {
		return startedSample{}, false
	}
	slot := &s.slots[pos]
	s.setState(pos, running)
	slot.attempt++
	slot.cancel = cancel
	slot.throughput = throughput{}
	return startedSample{pos: pos, attempt: slot.attempt, request: s.request(slot)}, true
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

// seed derives the random seed of a sample from its identity alone, so that the
// samples of a group differ and every attempt at a sample uses the same seed.
func (s *Step) seed(id wire.SampleID) int64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(UnitOf(s.spec.Trainer, s.spec.Step))
	_, _ = hash.Write([]byte{byte(id.Group), byte(id.Group >> 8), byte(id.Group >> 16), byte(id.Index), byte(id.Index >> 8), byte(id.Index >> 16)})
	return int64(hash.Sum64() >> 1)
}

// isCurrent reports whether the attempt is the one that is running.
func (s *Step) isCurrent(pos, attempt int) bool {
	return s.slots[pos].state == running && s.slots[pos].attempt == attempt
}

// progress appends a piece to a running sample.
func (s *Step) progress(pos, attempt int, piece Piece, now time.Time) {
	if !s.isCurrent(pos, attempt) {
		return
	}
	s.slots[pos].throughput.record(piece.Tokens, now)
	p := &s.slots[pos].partial
	p.text = append(p.text, piece.Text...)
	p.tokens += piece.Tokens
	p.spans = AppendSpan(p.spans, piece.WeightVersion, piece.Tokens)
}

// finish records a complete sample. A sample that already exceeds the staleness
// bound is discarded and queued again.
func (s *Step) finish(pos, attempt int, generation Generation, now time.Time) {
	if !s.isCurrent(pos, attempt) {
		return
	}
	slot := &s.slots[pos]
	s.updateAverageThroughput(slot.throughput, now)
	slot.partial = partial{}
	if wire.OverBound(generation.Spans, s.reference, s.spec.Staleness) {
		s.discard(pos, generation.Spans, true)
		return
	}
	slot.sample = wire.Sample{
		Group: slot.id.Group, Index: slot.id.Index,
		Text: generation.Text, FinishReason: generation.FinishReason, Spans: generation.Spans,
	}
	s.setState(pos, ready)
}

// refuse marks a sample as refused, because its request cannot be run. It is
// delivered without text.
func (s *Step) refuse(pos, attempt int, reason string) {
	if !s.isCurrent(pos, attempt) {
		return
	}
	slot := &s.slots[pos]
	slot.partial = partial{}
	slot.sample = wire.Sample{
		Group: slot.id.Group, Index: slot.id.Index,
		FinishReason: wire.FinishRefused, Error: reason,
	}
	s.setState(pos, ready)
}

// requeue queues a sample again after a failed attempt and keeps its partial text.
func (s *Step) requeue(pos, attempt int) {
	if s.isCurrent(pos, attempt) {
		s.setState(pos, waiting)
	}
}

// restart queues a sample again after a failed attempt and drops its partial text.
func (s *Step) restart(pos, attempt int) {
	if s.isCurrent(pos, attempt) {
		s.slots[pos].partial = partial{}
		s.setState(pos, waiting)
	}
}

// Advance raises the reference version to one that the trainer or the platform has
// reached. Complete and partial samples that now exceed the staleness bound are
// discarded and queued again.
func (s *Step) Advance(version int64) {
	if version <= s.reference {
		return
	}
	s.reference = version
	for pos := range s.slots {
		s.discardStale(pos)
	}
}

// discardStale discards a sample, complete or partial, that exceeds the staleness
// bound.
func (s *Step) discardStale(pos int) {
	slot := &s.slots[pos]
	spans := slot.sample.Spans
	if slot.state == waiting || slot.state == running {
		spans = slot.partial.spans
	}
	if wire.OverBound(spans, s.reference, s.spec.Staleness) {
		s.discard(pos, spans, slot.state == ready)
	}
}

// discard deletes the text of a complete or partial sample and queues the sample
// again.
func (s *Step) discard(pos int, spans []wire.Span, complete bool) {
	slot := &s.slots[pos]
	oldest, _ := wire.Oldest(spans)
	s.discarded++
	s.observe.Discarded(s.reference-oldest, complete)
	s.setState(pos, waiting)
	slot.partial = partial{}
	slot.sample = wire.Sample{}
}
